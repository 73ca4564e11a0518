#include "platform_emulator/platform_emulator.hpp"

#include "common/http_text.hpp"
#include "common/scheduler.hpp"
#include "core/token_bucket.hpp"
#include "net/event_loop.hpp"
#include "net/http_server.hpp"
#include "platform_emulator/faults.hpp"
#include "platform_emulator/host_list.hpp"
#include "platform_emulator/store.hpp"
#include "platform_emulator/watches.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace hawthornspur::tools
{

namespace
{

using exchange_ptr = std::shared_ptr<net::http_exchange>;

constexpr core::duration default_wait = std::chrono::seconds(30);
constexpr core::duration max_wait = std::chrono::minutes(10);
constexpr core::duration default_lease = std::chrono::seconds(10);

} // namespace

struct platform_emulator::state
{
    std::unique_ptr<scheduler> m_tasks;
    store m_store;
    host_list m_hosts;
    platform_faults m_faults;
    watch_list m_watches;
    core::token_bucket m_reads;
    core::token_bucket m_writes;
    std::map<std::string, std::uint64_t> m_counters;
    std::mt19937_64 m_random;
    /// Calls that are never answered.
    std::vector<exchange_ptr> m_silenced;
    std::unique_ptr<net::http_server> m_server;
};

namespace
{

using state = platform_emulator::state;

void set_rates(state& s)
{
    auto const now = net::event_loop::now();
    auto const fill = [&](double rate)
    {
        // A burst of a tenth of a second, at least one call.
        auto bucket =
            core::make_token_bucket(rate, std::max(1.0, rate / 10), now);
        bucket.m_tokens = bucket.m_capacity;
        return bucket;
    };
    s.m_reads = fill(s.m_faults.m_reads_per_second);
    s.m_writes = fill(s.m_faults.m_writes_per_second);
}

void answer(state& s, exchange_ptr const& exchange, int status,
            nlohmann::json body)
{
    auto delay = s.m_faults.m_delay;
    if (s.m_faults.m_delay_jitter > core::duration::zero())
    {
        delay += core::duration(std::uniform_int_distribution<std::int64_t>(
            0, s.m_faults.m_delay_jitter.count())(s.m_random));
    }
    if (delay <= core::duration::zero())
    {
        reply_json(*exchange, status, body);
        return;
    }
    s.m_tasks->run_after(delay, [exchange, status, body = std::move(body)]
                         { reply_json(*exchange, status, body); });
}

void answer_version(state& s, exchange_ptr const& exchange,
                    store_version const& version)
{
    answer(s, exchange, 200,
           {{"value", *version.m_value}, {"revision", version.m_revision}});
}

void wake(state& s, std::string const& key)
{
    auto const* version = find(s.m_store, key, net::event_loop::now());
    if (version != nullptr)
    {
        wake_watches(s.m_watches, *s.m_tasks, key, version->m_revision,
                     [&](exchange_ptr const& exchange)
                     { answer_version(s, exchange, *version); });
    }
}

/// The body is the value, or a JSON object whose only field is the text
/// "value".
std::string value_of(std::string body)
{
    auto const parsed = nlohmann::json::parse(body, nullptr, false);
    if (parsed.is_object() && parsed.size() == 1 && parsed.contains("value") &&
        parsed["value"].is_string())
    {
        return parsed["value"].get<std::string>();
    }
    return body;
}

int status_of(error const& problem)
{
    switch (problem.m_code)
    {
    case result_code::version_conflict:
        return 409;
    case result_code::document_too_large:
        return 413;
    case result_code::not_found:
        return 404;
    default:
        return 400;
    }
}

void answer_failure(state& s, exchange_ptr const& exchange,
                    error const& problem)
{
    answer(s, exchange, status_of(problem), {{"message", problem.m_message}});
}

void get(state& s, std::string const& key, exchange_ptr const& exchange)
{
    auto const* version =
        find(s.m_store, key, net::event_loop::now(), s.m_faults.m_stale_reads);
    if (version == nullptr)
    {
        answer(s, exchange, 404, {{"message", "no such key"}});
        return;
    }
    answer_version(s, exchange, *version);
}

void put(state& s, std::string const& key, request_target const& target,
         std::string body, exchange_ptr const& exchange)
{
    auto const revision = target.m_query.find("revision");
    auto const expected = revision == target.m_query.end()
                              ? std::nullopt
                              : parse_number<std::uint64_t>(revision->second);
    if (!expected)
    {
        answer(s, exchange, 400, {{"message", "revision is not a number"}});
        return;
    }
    auto const lease = target.m_query.find("lease");
    auto const written = compare_and_swap(
        s.m_store, key, value_of(std::move(body)), *expected,
        lease == target.m_query.end() ? std::string() : lease->second,
        net::event_loop::now());
    if (!has_value(written))
    {
        answer_failure(s, exchange, failure(written));
        return;
    }
    wake(s, key);
    if (std::bernoulli_distribution(s.m_faults.m_lost_answers)(s.m_random))
    {
        ++s.m_counters["lost_answer"];
        exchange->abort();
        return;
    }
    answer(s, exchange, 200, {{"revision", value(written)}});
}

void watch(state& s, std::string const& key, request_target const& target,
           exchange_ptr const& exchange)
{
    auto const after = query_number<std::uint64_t>(target, "after", 0);
    auto const wait = std::chrono::milliseconds(query_number<std::uint32_t>(
        target, "wait_ms",
        static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(default_wait)
                .count())));
    auto const* version = find(s.m_store, key, net::event_loop::now());
    bool const silent = s.m_faults.m_silent_watches;
    if (!silent && version != nullptr && version->m_revision > after)
    {
        answer_version(s, exchange, *version);
        return;
    }
    add_watch(s.m_watches, *s.m_tasks,
              {.m_key = key,
               .m_after = after,
               .m_exchange = exchange,
               .m_silent = silent},
              std::min<core::duration>(wait, max_wait),
              [](exchange_ptr const& ended) {
                  ended->reply({204, {}}, "");
              });
}

void make_lease(state& s, std::string const& body, exchange_ptr const& exchange)
{
    core::duration lifetime = default_lease;
    auto const parsed = parse_object(body.empty() ? "{}" : body);
    auto const read =
        has_value(parsed)
            ? read_fields(value(parsed), {{"lifetime_ms", &lifetime}})
            : status(failure(parsed));
    if (!has_value(read))
    {
        answer_failure(s, exchange, failure(read));
        return;
    }
    auto const now = net::event_loop::now();
    answer(s, exchange, 200,
           {{"lease", create_lease(s.m_store, lifetime, now)}});
}

void renew(state& s, std::string const& lease, exchange_ptr const& exchange)
{
    auto const renewed = renew_lease(s.m_store, lease, net::event_loop::now());
    if (!has_value(renewed))
    {
        answer_failure(s, exchange, failure(renewed));
        return;
    }
    answer(s, exchange, 200, {{"lease", lease}});
}

/// Counts the call and applies outages and rate limits to it. False when it
/// has been dealt with.
bool admit(state& s, char const* type, bool is_write,
           exchange_ptr const& exchange)
{
    ++s.m_counters[type];
    ++s.m_counters["total"];
    if (s.m_faults.m_silent)
    {
        s.m_silenced.push_back(exchange);
        return false;
    }
    if (s.m_faults.m_outage)
    {
        ++s.m_counters["refused_outage"];
        answer(s, exchange, 503, {{"message", "outage"}});
        return false;
    }
    if (!core::try_take(is_write ? s.m_writes : s.m_reads, 1,
                        net::event_loop::now()))
    {
        ++s.m_counters["refused_rate"];
        answer(s, exchange, 429, {{"message", "rate limit"}});
        return false;
    }
    expire_leases(s.m_store, net::event_loop::now());
    return true;
}

void on_call(state& s, net::http_request request, exchange_ptr const& exchange)
{
    auto const target = parse_target(request.m_uri);
    bool const is_get = request.m_method == "GET";
    bool const is_put = request.m_method == "PUT";
    if (auto const key = strip_prefix(target.m_path, "/v1/kv/"))
    {
        if (is_get && admit(s, "get", false, exchange))
        {
            get(s, *key, exchange);
        }
        if (is_put && admit(s, "put", true, exchange))
        {
            put(s, *key, target, std::move(request.m_body), exchange);
        }
        return;
    }
    if (auto const key = strip_prefix(target.m_path, "/v1/watch/");
        key && is_get)
    {
        if (admit(s, "watch", false, exchange))
        {
            watch(s, *key, target, exchange);
        }
        return;
    }
    if (auto const lease = strip_prefix(target.m_path, "/v1/leases/");
        lease && is_put)
    {
        if (admit(s, "renew_lease", true, exchange))
        {
            renew(s, *lease, exchange);
        }
        return;
    }
    if (target.m_path == "/v1/leases" && request.m_method == "POST")
    {
        if (admit(s, "create_lease", true, exchange))
        {
            make_lease(s, request.m_body, exchange);
        }
        return;
    }
    if (target.m_path == "/v1/hosts" && is_get)
    {
        if (admit(s, "hosts", false, exchange))
        {
            answer(s, exchange, 200,
                   hosts_at(s.m_hosts, net::event_loop::now(),
                            s.m_faults.m_list_lag));
        }
        return;
    }
    reply_json(*exchange, 404, {{"message", "no such path"}});
}

status change_faults(state& s, std::string const& text)
{
    auto const parsed = parse_object(text);
    if (!has_value(parsed))
    {
        return failure(parsed);
    }
    auto changed = read_fields(value(parsed), fields_of(s.m_faults));
    if (!has_value(changed))
    {
        return changed;
    }
    s.m_faults.m_lost_answers = std::min(1.0, s.m_faults.m_lost_answers);
    set_rates(s);
    if (s.m_faults.m_silent_watches)
    {
        silence_watches(s.m_watches);
    }
    return success();
}

nlohmann::json counters_of(state const& s)
{
    nlohmann::json counters = s.m_counters;
    counters["waiting_watches"] = s.m_watches.m_waiting.size();
    return counters;
}

void on_control(state& s, net::http_request const& request,
                net::http_exchange& exchange)
{
    bool const is_put = request.m_method == "PUT";
    if (request.m_uri == "/control/faults")
    {
        if (request.m_method == "DELETE")
        {
            s.m_faults = {};
            set_rates(s);
        }
        auto const changed =
            is_put ? change_faults(s, request.m_body) : success();
        has_value(changed)
            ? reply_json(exchange, 200, write_fields(fields_of(s.m_faults)))
            : reply_error(exchange, failure(changed));
        return;
    }
    if (request.m_uri == "/control/hosts")
    {
        auto const now = net::event_loop::now();
        auto const changed =
            is_put ? set_hosts(s.m_hosts, request.m_body, now) : success();
        has_value(changed)
            ? reply_json(exchange, 200, hosts_at(s.m_hosts, now, {}))
            : reply_error(exchange, failure(changed));
        return;
    }
    if (request.m_uri == "/control/counters")
    {
        reply_json(exchange, 200, counters_of(s));
        return;
    }
    reply_json(exchange, 404, {{"message", "no such path"}});
}

} // namespace

platform_emulator::platform_emulator(std::unique_ptr<state> s)
    : m_state(std::move(s))
{
}

platform_emulator::~platform_emulator() = default;

std::uint16_t platform_emulator::port() const noexcept
{
    return m_state->m_server->port();
}

result<std::unique_ptr<platform_emulator>>
platform_emulator::create(net::event_loop& loop,
                          platform_settings const& settings)
{
    auto s = std::make_unique<state>();
    auto tasks = scheduler::create(loop);
    if (!has_value(tasks))
    {
        return failure(tasks);
    }
    s->m_tasks = take(std::move(tasks));
    s->m_random.seed(settings.m_seed);
    set_rates(*s);
    // The initial list has no past, so it is visible despite any lag.
    auto const listed = set_hosts(s->m_hosts, settings.m_hosts, {});
    if (!has_value(listed))
    {
        return failure(listed);
    }
    auto server = net::http_server::create(
        loop,
        {.m_address = settings.m_address,
         .m_port = settings.m_port,
         .m_max_body_bytes = 8 * max_value_bytes,
         .m_idle_timeout = max_wait},
        [raw = s.get()](net::http_request request, exchange_ptr exchange)
        {
            if (request.m_uri.starts_with("/control/"))
            {
                on_control(*raw, request, *exchange);
                return;
            }
            on_call(*raw, std::move(request), exchange);
        });
    if (!has_value(server))
    {
        return failure(server);
    }
    s->m_server = take(std::move(server));
    return std::unique_ptr<platform_emulator>(
        new platform_emulator(std::move(s)));
}

} // namespace hawthornspur::tools
