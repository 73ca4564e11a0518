#include "cli/command.hpp"
#include "cli/http_query.hpp"
#include "cli/platform_session.hpp"

#include <absl/flags/flag.h>
#include <nlohmann/json.hpp>

#include <iostream>
#include <string>

ABSL_FLAG(std::string, from, "",
          "ADDRESS:PORT of the host: the callers' address for `addresses`, "
          "the administration address for `status` and `drain`");
ABSL_FLAG(std::string, service, "", "name of the service");
ABSL_FLAG(std::string, zone, "", "zone of the caller; empty for the host's");
ABSL_FLAG(bool, json, false, "print the answer as JSON");

namespace hawthornspur::cli
{

namespace
{

constexpr int http_ok = 200;

exit_code report(std::string const& message, result_code code)
{
    std::cerr << "hawthornspur: " << message << " ("
              << static_cast<unsigned>(code) << ")\n";
    return to_exit_code(code);
}

/// Sends a request to the host at --from and prints the answer.
exit_code query_and_print(std::string const& method, std::string const& uri,
                          void (*print)(nlohmann::json const&))
{
    auto const server = parse_endpoint(absl::GetFlag(FLAGS_from));
    if (!has_value(server))
    {
        return report("--from: " + failure(server).m_message,
                      result_code::usage);
    }
    auto const answer = query(value(server), {method, uri, {}, {}});
    if (!has_value(answer))
    {
        return report(failure(answer).m_message, failure(answer).m_code);
    }
    auto const& [status, body] = value(answer);
    auto const document = nlohmann::json::parse(body, nullptr, false);
    if (status != http_ok || document.is_discarded())
    {
        return report("the host answered " + std::to_string(status) + ": " +
                          body,
                      result_code::system_failure);
    }
    if (absl::GetFlag(FLAGS_json))
    {
        std::cout << document.dump(2) << "\n";
    }
    else
    {
        print(document);
    }
    return exit_code::success;
}

void print_addresses(nlohmann::json const& answer)
{
    std::cout << "service " << answer.value("service", "") << ", zone "
              << answer.value("zone", "") << ", use for "
              << answer.value("lifetime_ms", 0) << " ms\n";
    for (auto const& address :
         answer.value("addresses", nlohmann::json::array()))
    {
        std::cout << "  " << address.value("host", "") << " "
                  << address.value("address", "") << ":"
                  << address.value("port", 0) << " zone "
                  << address.value("zone", "") << "\n";
    }
    std::cout << "session " << answer.value("session", "") << "\n";
}

void print_status(nlohmann::json const& answer)
{
    std::cout << "host " << answer.value("host", "") << " zone "
              << answer.value("zone", "") << " state "
              << answer.value("state", "")
              << (answer.value("ready", false) ? "" : " (not ready)")
              << (answer.value("isolated", false) ? " (isolated)" : "")
              << "\ngeneration " << answer.value("generation", std::uint64_t{0})
              << " change " << answer.value("change_id", "")
              << ", newest announced "
              << answer.value("newest_generation_heard", std::uint64_t{0})
              << ", rejected " << answer.value("rejected_documents", 0) << "\n"
              << "calls in flight " << answer.value("calls_in_flight", 0)
              << ", at-most-once keys " << answer.value("once_keys", 0) << "\n";
    for (auto const& pool : answer.value("pools", nlohmann::json::array()))
    {
        std::cout << "  pool " << pool.value("service", "") << "/"
                  << pool.value("zone", "")
                  << (pool.value("owned", false) ? "" : " (handed over)")
                  << " in flight " << pool.value("in_flight", 0) << " of "
                  << pool.value("slots", 0) << " slots, queued "
                  << pool.value("queued", 0) << "\n";
    }
    for (auto const& host : answer.value("hosts", nlohmann::json::array()))
    {
        std::cout << "  host " << host.value("name", "") << " zone "
                  << host.value("zone", "") << " " << host.value("state", "")
                  << " generation "
                  << host.value("generation", std::uint64_t{0})
                  << (host.value("linked", false) ? "" : " (no link)") << "\n";
    }
}

exit_code run_addresses(std::vector<std::string> const& /*operands*/)
{
    auto const service = absl::GetFlag(FLAGS_service);
    if (service.empty())
    {
        return report("--service is missing", result_code::usage);
    }
    return query_and_print("GET",
                           "/.well-known/hawthornspur/addresses?service=" +
                               service + "&zone=" + absl::GetFlag(FLAGS_zone),
                           print_addresses);
}

exit_code run_status(std::vector<std::string> const& /*operands*/)
{
    return query_and_print("GET", "/status", print_status);
}

exit_code run_drain(std::vector<std::string> const& /*operands*/)
{
    return query_and_print("POST", "/drain", print_status);
}

} // namespace

command make_addresses_command()
{
    return {.m_name = "addresses",
            .m_operands = "",
            .m_summary = "Print the entry hosts to use for a service.",
            .m_details = "Prints the hosts in the order in which a caller "
                         "should try them, and a session.",
            .m_flags = {"from", "service", "zone", "json"},
            .m_run = run_addresses};
}

command make_status_command()
{
    return {.m_name = "status",
            .m_operands = "",
            .m_summary = "Show the state of an entry host.",
            .m_details = "Queries the administration address.",
            .m_flags = {"from", "json"},
            .m_run = run_status};
}

command make_drain_command()
{
    return {.m_name = "drain",
            .m_operands = "",
            .m_summary = "Start the planned stop of an entry host.",
            .m_details =
                "The host is removed from the address answers, hands over its "
                "pools, finishes the\nrequests in flight and exits.",
            .m_flags = {"from", "json"},
            .m_run = run_drain};
}

} // namespace hawthornspur::cli
