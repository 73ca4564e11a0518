#include "load_generator/sender.hpp"

#include <random>
#include <utility>

namespace hawthornspur::tools
{

namespace
{

struct callers
{
    std::vector<std::unique_ptr<caller>> m_all;
    std::mt19937_64 m_random;
};

std::map<std::string, std::uint64_t> sum_counters(callers const& all)
{
    std::map<std::string, std::uint64_t> sum;
    for (auto const& one : all.m_all)
    {
        auto const& c = one->counters();
        sum["calls"] += c.m_calls;
        sum["address_requests"] += c.m_address_requests;
        sum["retries_not_run"] += c.m_retries_not_run;
        sum["retries_idempotent"] += c.m_retries_idempotent;
        sum["copies"] += c.m_copies;
        sum["retries_without_budget"] += c.m_retries_without_budget;
    }
    return sum;
}

} // namespace

result<sender> make_entry_sender(net::event_loop& loop,
                                 entry_settings const& settings)
{
    auto const all = std::make_shared<callers>();
    all->m_random.seed(settings.m_seed);
    for (int i = 0; i < settings.m_callers; ++i)
    {
        caller_settings made;
        made.m_send_copies = settings.m_send_copies;
        if (!settings.m_zones.empty())
        {
            made.m_zone = settings.m_zones[static_cast<std::size_t>(i) %
                                           settings.m_zones.size()];
        }
        // Each caller starts with another entry host.
        for (std::size_t k = 0; k < settings.m_entry_hosts.size(); ++k)
        {
            auto const& host =
                settings.m_entry_hosts[(k + static_cast<std::size_t>(i)) %
                                       settings.m_entry_hosts.size()];
            made.m_entry_hosts.push_back({host.m_address, host.m_port});
        }
        auto created = caller::create(loop, std::move(made));
        if (!has_value(created))
        {
            return failure(created);
        }
        all->m_all.push_back(take(std::move(created)));
    }
    return sender{
        .m_call =
            [all](call_request request, call_handler handler)
        {
            auto const chosen = std::uniform_int_distribution<std::size_t>(
                0, all->m_all.size() - 1)(all->m_random);
            all->m_all[chosen]->call(std::move(request), std::move(handler));
        },
        .m_counters =
            [all]
        {
            return sum_counters(*all);
        }};
}

} // namespace hawthornspur::tools
