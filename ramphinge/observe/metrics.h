// Counters, gauges and latency quantiles (by Boost.Accumulators) in the text format that scrapers
// read.

#pragma once

#include <map>
#include <memory>
#include <string>

#include "ramphinge/base/time.h"

namespace ramphinge {

// A metric's name with its labels, as it is printed: requests_total{account="a"}.
class MetricName
{
public:
    explicit MetricName(std::string name) : m_text(std::move(name)) { }

    // Returns the name with a label added. Quotes and backslashes in the value are escaped, line
    // breaks become spaces.
    MetricName with(const std::string &label, const std::string &value) const;

    const std::string &text() const { return m_text; }
    friend bool operator<(const MetricName &a, const MetricName &b) { return a.m_text < b.m_text; }

private:
    std::string m_text;
};

// Quantiles over the current window, or the previous one while the current one has few samples. Not
// thread-safe.
class LatencySeries
{
public:
    explicit LatencySeries(Duration window = std::chrono::seconds(60));
    ~LatencySeries();

    void add(Duration sample, MonotonicTime now);

    struct Summary
    {
        std::int64_t count = 0; // Of all samples, not only those of the window.
        double p50 = 0; // Milliseconds.
        double p95 = 0;
        double p99 = 0;
    };
    Summary summary() const;

private:
    struct Window;
    Duration m_window;
    std::unique_ptr<Window> m_current;
    std::unique_ptr<Window> m_previous;
    MonotonicTime m_windowStart;
    std::int64_t m_count = 0;
};

// Not thread-safe: used on the event loop only. The number of names is bounded; beyond it, counts
// under new names go to one overflow counter, and gauges and latencies of new names are dropped.
class Metrics
{
public:
    void count(const MetricName &name, double by = 1);
    void set(const MetricName &name, double value);
    void observe(const MetricName &name, Duration sample, MonotonicTime now);
    double value(const MetricName &name) const;
    std::string toText() const;

private:
    static constexpr std::size_t maxNames = 10'000;

    std::map<MetricName, double> m_values;
    std::map<MetricName, LatencySeries> m_series;
};

} // namespace ramphinge
