// Accepted and prepared configuration: see config_holder.h.

#include "ramphinge/control/config_holder.h"

namespace ramphinge {

namespace {

std::int64_t versionOf(const AcceptedConfigPtr &config)
{
    return config ? config->record.version.count() : 0;
}

} // namespace

std::int64_t ConfigHolder::acceptedVersion() const
{
    return versionOf(m_accepted);
}

std::int64_t ConfigHolder::preparedVersion() const
{
    return versionOf(m_prepared);
}

bool ConfigHolder::adopt(const AcceptedConfigPtr &config)
{
    if (versionOf(config) <= versionOf(m_accepted))
        return false;
    m_accepted = config;
    if (versionOf(m_prepared) <= versionOf(m_accepted))
        m_prepared = nullptr;
    return true;
}

ConfigHolder::News ConfigHolder::onState(const ConfigState &state, Revision revision)
{
    News news;
    if (revision <= m_revision)
        return news;
    m_revision = revision;
    m_history = state.history;
    news.accepted = adopt(state.accepted);
    const bool isOpen = versionOf(state.proposal) > versionOf(m_accepted);
    const bool isKnown =
        isOpen && m_prepared && m_prepared->record.change == state.proposal->record.change;
    m_prepared = isOpen ? state.proposal : nullptr;
    if (isOpen)
        m_proposer = state.proposer;
    news.prepared = isOpen && !isKnown;
    return news;
}

ConfigHolder::News ConfigHolder::onPeer(const AcceptedConfigPtr &accepted,
                                        const AcceptedConfigPtr &prepared)
{
    News news;
    news.accepted = adopt(accepted);
    if (versionOf(prepared) > std::max(versionOf(m_accepted), versionOf(m_prepared)))
        m_prepared = prepared;
    return news;
}

} // namespace ramphinge
