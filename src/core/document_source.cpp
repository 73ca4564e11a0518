#include "core/document_source.hpp"

#include <vector>

namespace hawthornspur::core
{

std::string
choose_document_source(std::string const& announcer, std::uint64_t generation,
                       std::span<host_record const> hosts,
                       std::function<bool(std::string const&)> const& is_linked,
                       std::size_t earlier_attempts)
{
    std::vector<std::string> sources;
    std::vector<std::string> others;
    if (is_linked(announcer))
    {
        sources.push_back(announcer);
    }
    for (auto const& host : hosts)
    {
        if (host.m_name != announcer && host.m_state != host_state::dead &&
            is_linked(host.m_name))
        {
            (host.m_generation >= generation ? sources : others)
                .push_back(host.m_name);
        }
    }
    sources.insert(sources.end(), others.begin(), others.end());
    return sources.empty() ? std::string()
                           : sources[earlier_attempts % sources.size()];
}

} // namespace hawthornspur::core
