#include "cli/host_generations.hpp"

#include "platform/pending_call.hpp"

#include <absl/flags/flag.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

ABSL_FLAG(std::vector<std::string>, hosts, {},
          "Administration addresses of the entry hosts, ADDRESS:PORT with "
          "commas between them. Without it the platform's list of hosts is "
          "used.");
ABSL_FLAG(std::uint16_t, administration_port, 0,
          "Administration port of the hosts in the platform's list; 0 uses the "
          "listed port.");

namespace hawthornspur::cli
{

namespace
{

constexpr auto poll_interval = std::chrono::milliseconds(250);
constexpr auto answer_timeout = std::chrono::seconds(1);

std::optional<std::uint64_t> read_number(nlohmann::json const& status,
                                         char const* field)
{
    auto const found = status.find(field);
    return found != status.end() && found->is_number_unsigned()
               ? std::optional(found->get<std::uint64_t>())
               : std::nullopt;
}

/// Reads the answer of a host. One without a generation keeps the previous
/// values.
void read_status(std::string const& body, host_generation& host)
{
    auto const status = nlohmann::json::parse(body, nullptr, false);
    auto const generation = read_number(status, "generation");
    if (!generation)
    {
        return;
    }
    host.m_generation = generation;
    host.m_left_out_entries =
        read_number(status, "left_out_entries").value_or(0);
    auto const doubt = status.find("document_in_doubt");
    host.m_is_in_doubt =
        doubt != status.end() && *doubt == nlohmann::json(true);
}

/// A status request to several hosts. `m_done` is called when every host has
/// answered or timed out.
struct poll_round
{
    std::size_t m_pending = 0;
    platform::callback<std::monostate> m_done;
};

void query_host(platform_session& session, host_generation& host,
                std::shared_ptr<poll_round> const& round)
{
    auto const body = std::make_shared<std::string>();
    auto const status = std::make_shared<int>(0);
    net::http_request request{"GET", "/status", {}, {}};
    net::set_header(request.m_headers, "Host", host.m_administration.m_address);
    net::exchange_options options;
    options.m_timeout = answer_timeout;
    net::exchange_handlers handlers;
    handlers.m_on_head = [status](net::http_response_head const& head, auto)
    {
        *status = head.m_status;
    };
    handlers.m_on_data = [body](std::string_view data)
    {
        *body += data;
    };
    handlers.m_on_end =
        [&host, body, status, round](net::exchange_outcome outcome)
    {
        constexpr int status_ok = 200;
        if (outcome == net::exchange_outcome::complete && *status == status_ok)
        {
            read_status(*body, host);
        }
        if (--round->m_pending == 0)
        {
            round->m_done(std::monostate{});
        }
    };
    session.m_client->send(host.m_administration, request, options,
                           std::move(handlers));
}

bool is_in_force(host_generation const& host, std::uint64_t generation)
{
    return host.m_generation && *host.m_generation >= generation;
}

/// Queries the hosts where the generation is not in force yet.
void query_outdated_hosts(platform_session& session,
                          std::vector<host_generation>& hosts,
                          std::uint64_t generation,
                          platform::callback<std::monostate> done)
{
    auto const round = std::make_shared<poll_round>();
    round->m_done = std::move(done);
    round->m_pending = hosts.size() - count_in_force(hosts, generation);
    if (round->m_pending == 0)
    {
        session.m_scheduler.m_run_after(core::duration(0), [round]
                                        { round->m_done(std::monostate{}); });
        return;
    }
    for (auto& host : hosts)
    {
        if (!is_in_force(host, generation))
        {
            query_host(session, host, round);
        }
    }
}

platform::detached_task poll(platform_session& session,
                             std::vector<host_generation>& hosts,
                             std::uint64_t generation,
                             core::time_point deadline,
                             std::function<void(std::size_t)> const& progress,
                             platform::callback<std::monostate> done)
{
    using nothing = std::monostate;
    std::optional<std::size_t> reported;
    while (true)
    {
        platform::pending_call<nothing> query_call(
            [&](platform::callback<nothing> on_answered) {
                query_outdated_hosts(session, hosts, generation,
                                     std::move(on_answered));
            });
        co_await query_call;
        auto const in_force = count_in_force(hosts, generation);
        if (reported != in_force)
        {
            reported = in_force;
            progress(in_force);
        }
        if (in_force == hosts.size() || session.m_scheduler.m_now() >= deadline)
        {
            break;
        }
        platform::pending_call<nothing> delay_call(
            [&](platform::callback<nothing> on_elapsed)
            {
                session.m_scheduler.m_run_after(
                    poll_interval, [on_elapsed = std::move(on_elapsed)]
                    { on_elapsed(nothing{}); });
            });
        co_await delay_call;
    }
    done(nothing{});
}

} // namespace

std::vector<std::string> host_flags()
{
    return {"hosts", "administration_port"};
}

result<std::vector<host_generation>> find_hosts(platform_session& session)
{
    std::vector<host_generation> hosts;
    auto const named_hosts = absl::GetFlag(FLAGS_hosts);
    for (auto const& text : named_hosts)
    {
        auto endpoint = parse_endpoint(text);
        if (!has_value(endpoint))
        {
            return make_error(result_code::usage,
                              "--hosts: " + failure(endpoint).m_message);
        }
        hosts.push_back({"", take(std::move(endpoint)), std::nullopt});
    }
    if (!named_hosts.empty())
    {
        return hosts;
    }
    using host_list = std::vector<platform::listed_host>;
    auto const listed =
        run_call<host_list>(session, [&](platform::callback<host_list> done)
                            { session.m_calls.m_list_hosts(std::move(done)); });
    if (!has_value(listed))
    {
        return failure(listed);
    }
    auto const port = absl::GetFlag(FLAGS_administration_port);
    for (auto const& host : value(listed))
    {
        if (host.m_role == platform::listed_role::entry && !host.m_leaving)
        {
            hosts.push_back({host.m_name,
                             {host.m_address, port == 0 ? host.m_port : port},
                             std::nullopt});
        }
    }
    return hosts;
}

void query_hosts(platform_session& session, std::vector<host_generation>& hosts)
{
    constexpr auto max_generation = UINT64_MAX;
    static_cast<void>(run_call<std::monostate>(
        session,
        [&](platform::callback<std::monostate> done) {
            query_outdated_hosts(session, hosts, max_generation,
                                 std::move(done));
        }));
}

void wait_until_in_force(platform_session& session,
                         std::vector<host_generation>& hosts,
                         std::uint64_t generation, core::duration timeout,
                         std::function<void(std::size_t)> const& progress)
{
    auto const deadline = session.m_scheduler.m_now() + timeout;
    static_cast<void>(
        run_call<std::monostate>(session,
                                 [&](platform::callback<std::monostate> done) {
                                     poll(session, hosts, generation, deadline,
                                          progress, std::move(done));
                                 }));
}

std::size_t count_in_force(std::vector<host_generation> const& hosts,
                           std::uint64_t generation)
{
    return static_cast<std::size_t>(
        std::count_if(hosts.begin(), hosts.end(),
                      [&](host_generation const& host)
                      { return is_in_force(host, generation); }));
}

std::string describe(host_generation const& host)
{
    auto const& endpoint = host.m_administration;
    return host.m_name + (host.m_name.empty() ? "" : " at ") +
           endpoint.m_address + ":" + std::to_string(endpoint.m_port) +
           (host.m_generation
                ? ": generation " + std::to_string(*host.m_generation)
                : std::string(": no answer")) +
           (host.m_left_out_entries > 0
                ? ", " + std::to_string(host.m_left_out_entries) +
                      " entries left out"
                : std::string()) +
           (host.m_is_in_doubt ? ", newest document not in force" : "");
}

} // namespace hawthornspur::cli
