#include "load_generator/sender.hpp"

#include <random>
#include <utility>

namespace hawthornspur::tools
{

namespace
{

struct caller_group
{
    std::vector<std::unique_ptr<caller>> m_callers;
    std::mt19937_64 m_random;
};

std::map<std::string, std::uint64_t> sum_counters(caller_group const& group)
{
    std::map<std::string, std::uint64_t> sum;
    for (auto const& member : group.m_callers)
    {
        auto const& counters = member->counters();
        sum["calls"] += counters.m_calls;
        sum["address_requests"] += counters.m_address_requests;
        sum["retries_not_run"] += counters.m_retries_not_run;
        sum["retries_idempotent"] += counters.m_retries_idempotent;
        sum["copies"] += counters.m_copies;
        sum["retries_without_budget"] += counters.m_retries_without_budget;
    }
    return sum;
}

} // namespace

result<sender> make_entry_sender(net::event_loop& loop,
                                 entry_sender_settings const& settings)
{
    auto const group = std::make_shared<caller_group>();
    group->m_random.seed(settings.m_seed);
    for (int i = 0; i < settings.m_callers; ++i)
    {
        caller_settings member_settings;
        member_settings.m_send_copies = settings.m_send_copies;
        if (!settings.m_zones.empty())
        {
            member_settings.m_zone =
                settings.m_zones[static_cast<std::size_t>(i) %
                                 settings.m_zones.size()];
        }
        // Rotates the list to spread the callers over the entry hosts.
        for (std::size_t k = 0; k < settings.m_entry_hosts.size(); ++k)
        {
            auto const& host =
                settings.m_entry_hosts[(k + static_cast<std::size_t>(i)) %
                                       settings.m_entry_hosts.size()];
            member_settings.m_entry_hosts.push_back(
                {host.m_address, host.m_port});
        }
        auto created = caller::create(loop, std::move(member_settings));
        if (!has_value(created))
        {
            return failure(created);
        }
        group->m_callers.push_back(take(std::move(created)));
    }
    return sender{.m_call =
                      [group](call_request request, call_handler handler)
                  {
                      auto const chosen =
                          std::uniform_int_distribution<std::size_t>(
                              0, group->m_callers.size() - 1)(group->m_random);
                      group->m_callers[chosen]->call(std::move(request),
                                                     std::move(handler));
                  },
                  .m_counters =
                      [group]
                  {
                      return sum_counters(*group);
                  }};
}

} // namespace hawthornspur::tools
