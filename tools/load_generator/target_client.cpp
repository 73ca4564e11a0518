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

constexpr core::duration ask_timeout = std::chrono::seconds(20);
constexpr std::size_t max_answer_bytes = std::size_t{512} << 20U;

struct inquiry
{
    net::event_loop* m_loop = nullptr;
    std::unique_ptr<net::http_client> m_client;
    target_record m_record;
    std::size_t m_open = 0;
};

void ask(inquiry& all, net::endpoint const& target, char const* path,
         void (*add)(target_record&, nlohmann::json const&))
{
    ++all.m_open;
    net::exchange_options options;
    options.m_timeout = ask_timeout;
    options.m_max_answer_bytes = max_answer_bytes;
    auto const body = std::make_shared<std::string>();
    all.m_client->send(
        target, {"GET", path, {{"Host", target.m_address}}, {}}, options,
        {.m_on_head = {},
         .m_on_data = [body](std::string_view data) { *body += data; },
         .m_on_end =
             [&all, target, body, add](net::exchange_outcome outcome)
         {
             auto const parsed = nlohmann::json::parse(*body, nullptr, false);
             if (outcome == net::exchange_outcome::complete &&
                 parsed.is_object())
             {
                 add(all.m_record, parsed);
             }
             else
             {
                 all.m_record.m_unreachable.push_back(
                     target.m_address + ":" + std::to_string(target.m_port));
             }
             if (--all.m_open == 0)
             {
                 all.m_loop->stop();
             }
         }});
}

} // namespace

result<target_record> ask_targets(net::event_loop& loop,
                                  std::vector<net::endpoint> const& targets)
{
    inquiry all;
    all.m_loop = &loop;
    auto client = net::http_client::create(loop);
    if (!has_value(client))
    {
        return failure(client);
    }
    all.m_client = take(std::move(client));
    for (auto const& target : targets)
    {
        ask(all, target, "/control/runs", &add_runs);
        ask(all, target, "/control/counters", &add_counters);
    }
    if (all.m_open > 0)
    {
        loop.run();
    }
    return std::move(all.m_record);
}

} // namespace hawthornspur::tools
