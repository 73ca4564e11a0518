#include "load_generator/generator.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"

#include <nlohmann/json.hpp>

#include <memory>
#include <utility>

namespace hawthornspur::tools
{

namespace
{

constexpr core::duration fetch_timeout = std::chrono::seconds(20);
constexpr std::size_t max_record_bytes = std::size_t{512} << 20U;

struct target_fetch
{
    net::event_loop* m_loop = nullptr;
    std::unique_ptr<net::http_client> m_client;
    target_record m_record;
    std::size_t m_pending = 0;
};

void fetch(target_fetch& state, net::endpoint const& target, char const* path,
           void (*add)(target_record&, nlohmann::json const&))
{
    ++state.m_pending;
    net::exchange_options options;
    options.m_timeout = fetch_timeout;
    options.m_max_answer_bytes = max_record_bytes;
    auto const body = std::make_shared<std::string>();
    state.m_client->send(
        target, {"GET", path, {{"Host", target.m_address}}, {}}, options,
        {.m_on_head = {},
         .m_on_data = [body](std::string_view data) { *body += data; },
         .m_on_end =
             [&state, target, body, add](net::exchange_outcome outcome)
         {
             auto const parsed = nlohmann::json::parse(*body, nullptr, false);
             if (outcome == net::exchange_outcome::complete &&
                 parsed.is_object())
             {
                 add(state.m_record, parsed);
             }
             else
             {
                 state.m_record.m_unreachable.push_back(
                     target.m_address + ":" + std::to_string(target.m_port));
             }
             if (--state.m_pending == 0)
             {
                 state.m_loop->stop();
             }
         }});
}

} // namespace

result<target_record>
fetch_target_records(net::event_loop& loop,
                     std::vector<net::endpoint> const& targets)
{
    target_fetch state;
    state.m_loop = &loop;
    auto client = net::http_client::create(loop);
    if (!has_value(client))
    {
        return failure(client);
    }
    state.m_client = take(std::move(client));
    for (auto const& target : targets)
    {
        fetch(state, target, "/control/runs", &add_runs);
        fetch(state, target, "/control/counters", &add_counters);
    }
    if (state.m_pending > 0)
    {
        loop.run();
    }
    return std::move(state.m_record);
}

} // namespace hawthornspur::tools
