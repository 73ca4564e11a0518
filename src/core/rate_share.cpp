#include "core/rate_share.hpp"

#include <algorithm>
#include <cassert>

namespace hawthornspur::core
{

namespace
{

// Time within which both owners know of the change: a suspected host is dead or
// has refuted the suspicion by then.
constexpr duration ownership_overlap = std::chrono::seconds(2);
constexpr double overlap_share = 0.5;
// More owners that are lost at the same moment leave a successor that learns
// the limits from the first answers.
constexpr std::size_t informed_successors = 3;

} // namespace

fleet_view make_fleet_view(std::span<host_record const> hosts)
{
    auto const lost = static_cast<int>(
        std::count_if(hosts.begin(), hosts.end(),
                      [](host_record const& host)
                      {
                          return host.m_state == host_state::dead ||
                                 host.m_state == host_state::suspected;
                      }));
    return {std::max(1, static_cast<int>(hosts.size()) - lost), lost};
}

double rate_share(bool is_owner, time_point changed_at, fleet_view const& fleet,
                  time_point now)
{
    assert(fleet.m_present > 0 && fleet.m_lost >= 0);
    auto const present_share =
        static_cast<double>(fleet.m_present) / (fleet.m_present + fleet.m_lost);
    if (now < changed_at + ownership_overlap)
    {
        return overlap_share * present_share;
    }
    return is_owner ? present_share : 0;
}

std::vector<std::string>
rate_limit_successors(std::vector<std::string> const& ranked_owners,
                      std::string const& self)
{
    std::vector<std::string> successors;
    for (auto const& host : ranked_owners)
    {
        if (host != self && successors.size() < informed_successors)
        {
            successors.push_back(host);
        }
    }
    return successors;
}

} // namespace hawthornspur::core
