#include "platform_emulator/platform_emulator.hpp"

#include "common/http_helpers.hpp"
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

struct platform_emulator::emulator_state
{
    std::unique_ptr<scheduler> m_tasks;
    key_value_store m_store;
    host_list m_hosts;
    platform_faults m_faults;
    watch_list m_watches;
    core::token_bucket m_reads;
    core::token_bucket m_writes;
    std::map<std::string, std::uint64_t> m_counters;
    std::mt19937_64 m_random;
    /// Exchanges that stay open without an answer.
    std::vector<exchange_ptr> m_unanswered_calls;
    std::unique_ptr<net::http_server> m_server;
};

namespace
{

using emulator_state = platform_emulator::emulator_state;

void reset_rate_limits(emulator_state& state)
{
    auto const now = net::event_loop::now();
    auto const make_full_bucket = [&](double rate)
    {
        // Allows bursts of 100 ms worth of calls, but at least one call.
        auto bucket =
            core::make_token_bucket(rate, std::max(1.0, rate / 10), now);
        bucket.m_tokens = bucket.m_capacity;
        return bucket;
    };
    state.m_reads = make_full_bucket(state.m_faults.m_reads_per_second);
    state.m_writes = make_full_bucket(state.m_faults.m_writes_per_second);
}

void answer(emulator_state& state, exchange_ptr const& exchange, int status,
            nlohmann::json body)
{
    auto delay = state.m_faults.m_delay;
    if (state.m_faults.m_delay_jitter > core::duration::zero())
    {
        delay += core::duration(std::uniform_int_distribution<std::int64_t>(
            0, state.m_faults.m_delay_jitter.count())(state.m_random));
    }
    if (delay <= core::duration::zero())
    {
        reply_json(*exchange, status, body);
        return;
    }
    state.m_tasks->run_after(delay, [exchange, status, body = std::move(body)]
                             { reply_json(*exchange, status, body); });
}

void answer_version(emulator_state& state, exchange_ptr const& exchange,
                    store_version const& version)
{
    answer(state, exchange, 200,
           {{"value", *version.m_value},
            {"revision", version.m_revision},
            {"epoch", state.m_store.m_epoch}});
}

void notify_watches(emulator_state& state, std::string const& key)
{
    auto const* version =
        find_version(state.m_store, key, net::event_loop::now());
    if (version != nullptr)
    {
        complete_watches(state.m_watches, *state.m_tasks, key,
                         version->m_revision,
                         [&](exchange_ptr const& exchange)
                         { answer_version(state, exchange, *version); });
    }
}

/// Returns the text field "value" if the body is a JSON object with only this
/// field, otherwise the body itself.
std::string parse_value(std::string body)
{
    auto const parsed = nlohmann::json::parse(body, nullptr, false);
    if (parsed.is_object() && parsed.size() == 1 && parsed.contains("value") &&
        parsed["value"].is_string())
    {
        return parsed["value"].get<std::string>();
    }
    return body;
}

int http_status(error const& problem)
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

void answer_failure(emulator_state& state, exchange_ptr const& exchange,
                    error const& problem)
{
    answer(state, exchange, http_status(problem),
           {{"message", problem.m_message}});
}

void handle_get(emulator_state& state, std::string const& key,
                exchange_ptr const& exchange)
{
    auto const* version =
        find_version(state.m_store, key, net::event_loop::now(),
                     state.m_faults.m_stale_reads);
    if (version == nullptr)
    {
        answer(state, exchange, 404, {{"message", "no such key"}});
        return;
    }
    answer_version(state, exchange, *version);
}

void handle_put(emulator_state& state, std::string const& key,
                request_target const& target, std::string body,
                exchange_ptr const& exchange)
{
    auto const revision = target.m_query.find("revision");
    auto const expected = revision == target.m_query.end()
                              ? std::nullopt
                              : parse_number<std::uint64_t>(revision->second);
    if (!expected)
    {
        answer(state, exchange, 400, {{"message", "revision is not a number"}});
        return;
    }
    auto const lease = target.m_query.find("lease");
    auto const written = compare_and_swap(
        state.m_store, key, parse_value(std::move(body)),
        {*expected, query_number<std::uint64_t>(target, "epoch", 0)},
        lease == target.m_query.end() ? std::string() : lease->second,
        net::event_loop::now());
    if (!has_value(written))
    {
        answer_failure(state, exchange, failure(written));
        return;
    }
    notify_watches(state, key);
    if (std::bernoulli_distribution(state.m_faults.m_lost_answers)(
            state.m_random))
    {
        ++state.m_counters["lost_answer"];
        exchange->abort();
        return;
    }
    answer(state, exchange, 200, {{"revision", value(written)}});
}

void handle_watch(emulator_state& state, std::string const& key,
                  request_target const& target, exchange_ptr const& exchange)
{
    auto const after = query_number<std::uint64_t>(target, "after", 0);
    auto const wait = std::chrono::milliseconds(query_number<std::uint32_t>(
        target, "wait_ms",
        static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(default_wait)
                .count())));
    auto const* version =
        find_version(state.m_store, key, net::event_loop::now());
    bool const silent = state.m_faults.m_silent_watches;
    if (!silent && version != nullptr && version->m_revision > after)
    {
        answer_version(state, exchange, *version);
        return;
    }
    add_watch(state.m_watches, *state.m_tasks,
              {.m_key = key,
               .m_after_revision = after,
               .m_exchange = exchange,
               .m_silent = silent},
              std::min<core::duration>(wait, max_wait),
              [](exchange_ptr const& expired) {
                  expired->reply({204, {}}, "");
              });
}

void handle_create_lease(emulator_state& state, std::string const& body,
                         exchange_ptr const& exchange)
{
    core::duration lifetime = default_lease;
    auto const parsed = parse_object(body.empty() ? "{}" : body);
    auto const read =
        has_value(parsed)
            ? read_fields(value(parsed), {{"lifetime_ms", &lifetime}})
            : status(failure(parsed));
    if (!has_value(read))
    {
        answer_failure(state, exchange, failure(read));
        return;
    }
    auto const now = net::event_loop::now();
    answer(state, exchange, 200,
           {{"lease", create_lease(state.m_store, lifetime, now)}});
}

void handle_renew_lease(emulator_state& state, std::string const& lease,
                        exchange_ptr const& exchange)
{
    auto const renewed =
        renew_lease(state.m_store, lease, net::event_loop::now());
    if (!has_value(renewed))
    {
        answer_failure(state, exchange, failure(renewed));
        return;
    }
    answer(state, exchange, 200, {{"lease", lease}});
}

/// Counts the call and applies silence, outage and rate limits. Returns false
/// if the call was refused or is never answered.
bool admit(emulator_state& state, char const* type, bool is_write,
           exchange_ptr const& exchange)
{
    ++state.m_counters[type];
    ++state.m_counters["total"];
    if (state.m_faults.m_silent)
    {
        state.m_unanswered_calls.push_back(exchange);
        return false;
    }
    if (state.m_faults.m_outage)
    {
        ++state.m_counters["refused_outage"];
        answer(state, exchange, 503, {{"message", "outage"}});
        return false;
    }
    if (!core::try_take(is_write ? state.m_writes : state.m_reads, 1,
                        net::event_loop::now()))
    {
        ++state.m_counters["refused_rate"];
        answer(state, exchange, 429, {{"message", "rate limit"}});
        return false;
    }
    expire_leases(state.m_store, net::event_loop::now());
    return true;
}

void handle_call(emulator_state& state, net::http_request request,
                 exchange_ptr const& exchange)
{
    auto const target = parse_target(request.m_uri);
    bool const is_get = request.m_method == "GET";
    bool const is_put = request.m_method == "PUT";
    if (auto const key = strip_prefix(target.m_path, "/v1/kv/"))
    {
        if (is_get && admit(state, "get", false, exchange))
        {
            handle_get(state, *key, exchange);
        }
        if (is_put && admit(state, "put", true, exchange))
        {
            handle_put(state, *key, target, std::move(request.m_body),
                       exchange);
        }
        return;
    }
    if (auto const key = strip_prefix(target.m_path, "/v1/watch/");
        key && is_get)
    {
        if (admit(state, "watch", false, exchange))
        {
            handle_watch(state, *key, target, exchange);
        }
        return;
    }
    if (auto const lease = strip_prefix(target.m_path, "/v1/leases/");
        lease && is_put)
    {
        if (admit(state, "renew_lease", true, exchange))
        {
            handle_renew_lease(state, *lease, exchange);
        }
        return;
    }
    if (target.m_path == "/v1/leases" && request.m_method == "POST")
    {
        if (admit(state, "create_lease", true, exchange))
        {
            handle_create_lease(state, request.m_body, exchange);
        }
        return;
    }
    if (target.m_path == "/v1/hosts" && is_get)
    {
        if (admit(state, "hosts", false, exchange))
        {
            answer(state, exchange, 200,
                   hosts_at(state.m_hosts, net::event_loop::now(),
                            state.m_faults.m_list_lag));
        }
        return;
    }
    reply_json(*exchange, 404, {{"message", "no such path"}});
}

status change_faults(emulator_state& state, std::string const& text)
{
    auto const parsed = parse_object(text);
    if (!has_value(parsed))
    {
        return failure(parsed);
    }
    auto changed = read_fields(value(parsed), get_fields(state.m_faults));
    if (!has_value(changed))
    {
        return changed;
    }
    state.m_faults.m_lost_answers =
        std::min(1.0, state.m_faults.m_lost_answers);
    reset_rate_limits(state);
    if (state.m_faults.m_silent_watches)
    {
        silence_watches(state.m_watches);
    }
    return success();
}

status restore_store(emulator_state& state, std::string const& text)
{
    core::duration age{0};
    auto const parsed = parse_object(text);
    auto read = has_value(parsed)
                    ? read_fields(value(parsed), {{"age_ms", &age}})
                    : status(failure(parsed));
    if (has_value(read))
    {
        restore(state.m_store, age, net::event_loop::now());
        abort_watches(state.m_watches, *state.m_tasks);
    }
    return read;
}

nlohmann::json make_counters(emulator_state const& state)
{
    nlohmann::json counters = state.m_counters;
    counters["waiting_watches"] = state.m_watches.m_waiting.size();
    return counters;
}

void handle_control(emulator_state& state, net::http_request const& request,
                    net::http_exchange& exchange)
{
    bool const is_put = request.m_method == "PUT";
    if (request.m_uri == "/control/faults")
    {
        if (request.m_method == "DELETE")
        {
            state.m_faults = {};
            reset_rate_limits(state);
        }
        auto const changed =
            is_put ? change_faults(state, request.m_body) : success();
        has_value(changed)
            ? reply_json(exchange, 200,
                         write_fields(get_fields(state.m_faults)))
            : reply_error(exchange, failure(changed));
        return;
    }
    if (request.m_uri == "/control/hosts")
    {
        auto const now = net::event_loop::now();
        auto const changed =
            is_put ? set_hosts(state.m_hosts, request.m_body, now) : success();
        has_value(changed)
            ? reply_json(exchange, 200, hosts_at(state.m_hosts, now, {}))
            : reply_error(exchange, failure(changed));
        return;
    }
    if (request.m_uri == "/control/restore" && is_put)
    {
        auto const restored = restore_store(state, request.m_body);
        has_value(restored)
            ? reply_json(exchange, 200, nlohmann::json::object())
            : reply_error(exchange, failure(restored));
        return;
    }
    if (request.m_uri == "/control/counters")
    {
        reply_json(exchange, 200, make_counters(state));
        return;
    }
    reply_json(exchange, 404, {{"message", "no such path"}});
}

} // namespace

platform_emulator::platform_emulator(std::unique_ptr<emulator_state> state)
    : m_state(std::move(state))
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
    auto state = std::make_unique<emulator_state>();
    auto tasks = scheduler::create(loop);
    if (!has_value(tasks))
    {
        return failure(tasks);
    }
    state->m_tasks = take(std::move(tasks));
    state->m_random.seed(settings.m_seed);
    reset_rate_limits(*state);
    // The initial list has the earliest time point, so it is visible at once
    // despite a lag.
    auto const listed = set_hosts(state->m_hosts, settings.m_hosts, {});
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
        [state_pointer = state.get()](net::http_request request,
                                      exchange_ptr exchange)
        {
            if (request.m_uri.starts_with("/control/"))
            {
                handle_control(*state_pointer, request, *exchange);
                return;
            }
            handle_call(*state_pointer, std::move(request), exchange);
        });
    if (!has_value(server))
    {
        return failure(server);
    }
    state->m_server = take(std::move(server));
    return std::unique_ptr<platform_emulator>(
        new platform_emulator(std::move(state)));
}

} // namespace hawthornspur::tools
