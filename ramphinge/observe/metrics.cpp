// Metrics: see metrics.h.

#include "ramphinge/observe/metrics.h"

#include <array>
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace ramphinge {

namespace {

namespace acc = boost::accumulators;
using Accumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::extended_p_square>>;

constexpr std::array<double, 3> quantiles { 0.5, 0.95, 0.99 };

const MetricName overflowName("metrics_beyond_limit_total");

std::string escaped(const std::string &value)
{
    std::string text;
    for (const char c : value) {
        if (c == '"' || c == '\\')
            text.push_back('\\');
        text.push_back(c == '\n' ? ' ' : c);
    }
    return text;
}

} // namespace

MetricName MetricName::with(const std::string &label, const std::string &value) const
{
    const std::string pair = label + "=\"" + escaped(value) + "\"";
    if (m_text.back() == '}')
        return MetricName(m_text.substr(0, m_text.size() - 1) + "," + pair + "}");
    return MetricName(m_text + "{" + pair + "}");
}

struct LatencySeries::Window
{
    Window() : accumulator(acc::extended_p_square_probabilities = quantiles) { }

    Accumulator accumulator;
};

LatencySeries::LatencySeries(Duration window)
    : m_window(window), m_current(std::make_unique<Window>())
{ }

LatencySeries::~LatencySeries() = default;

void LatencySeries::add(Duration sample, MonotonicTime now)
{
    if (m_windowStart == MonotonicTime())
        m_windowStart = now;
    if (now - m_windowStart >= m_window) {
        m_previous = std::move(m_current);
        m_current = std::make_unique<Window>();
        m_windowStart = now;
    }
    m_current->accumulator(toMilliseconds(sample));
    ++m_count;
}

LatencySeries::Summary LatencySeries::summary() const
{
    // Falls back to the previous window while the current one has too few samples for quantiles.
    const bool hasFewSamples = m_previous && acc::count(m_current->accumulator) < 100;
    const Accumulator &from = hasFewSamples ? m_previous->accumulator : m_current->accumulator;
    Summary summary;
    summary.count = m_count;
    if (acc::count(from) == 0)
        return summary;
    summary.p50 = acc::extended_p_square(from)[0];
    summary.p95 = acc::extended_p_square(from)[1];
    summary.p99 = acc::extended_p_square(from)[2];
    return summary;
}

void Metrics::count(const MetricName &name, double by)
{
    if (m_values.size() >= maxNames && m_values.count(name) == 0)
        m_values[overflowName] += by;
    else
        m_values[name] += by;
}

void Metrics::set(const MetricName &name, double value)
{
    if (m_values.size() < maxNames || m_values.count(name) > 0)
        m_values[name] = value;
}

void Metrics::observe(const MetricName &name, Duration sample, MonotonicTime now)
{
    if (m_series.size() < maxNames || m_series.count(name) > 0)
        m_series[name].add(sample, now);
}

double Metrics::value(const MetricName &name) const
{
    const auto found = m_values.find(name);
    return found == m_values.end() ? 0 : found->second;
}

std::string Metrics::toText() const
{
    std::ostringstream text;
    for (const auto &[name, value] : m_values)
        text << "ramphinge_" << name.text() << ' ' << value << '\n';
    for (const auto &[name, series] : m_series) {
        const LatencySeries::Summary summary = series.summary();
        text << "ramphinge_" << name.with("quantile", "0.5").text() << ' ' << summary.p50 << '\n';
        text << "ramphinge_" << name.with("quantile", "0.95").text() << ' ' << summary.p95 << '\n';
        text << "ramphinge_" << name.with("quantile", "0.99").text() << ' ' << summary.p99 << '\n';
        text << "ramphinge_" << name.with("quantile", "count").text() << ' ' << summary.count
             << '\n';
    }
    return text.str();
}

} // namespace ramphinge
