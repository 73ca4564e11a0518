#include "serve/self_report.hpp"

#include "serve/host.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

using named_listener = std::pair<std::string, net::http_server const*>;

std::vector<named_listener> open_listeners(entry_host const& host)
{
    std::vector<named_listener> listeners;
    for (auto const& [name, server] :
         {std::pair{"callers", &host.m_caller_server},
          std::pair{"directory", &host.m_directory_server},
          std::pair{"readiness", &host.m_readiness_server},
          std::pair{"administration", &host.m_administration_server}})
    {
        if (*server != nullptr)
        {
            listeners.emplace_back(name, server->get());
        }
    }
    return listeners;
}

std::uint64_t count_refused(net::http_server const& server)
{
    std::uint64_t total = 0;
    for (auto const& [code, count] : server.counters().m_refused)
    {
        total += count;
    }
    return total;
}

std::int64_t to_milliseconds(core::duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

double to_seconds(core::duration time)
{
    return std::chrono::duration<double>(time).count();
}

/// A sample of each listener, with its name as a label.
void add_per_listener(entry_host const& host, metrics::sample const& sample,
                      double (*read)(net::http_server const&),
                      std::vector<metrics::sample>& samples)
{
    for (auto const& [name, server] : open_listeners(host))
    {
        auto of_listener = sample;
        of_listener.m_value = read(*server);
        of_listener.m_labels = {{"listener", name}};
        samples.push_back(std::move(of_listener));
    }
}

} // namespace

nlohmann::json describe_listeners(entry_host const& host)
{
    auto list = nlohmann::json::array();
    for (auto const& [name, server] : open_listeners(host))
    {
        auto const& counters = server->counters();
        auto const state = server->listener();
        list.push_back(
            {{"listener", name},
             {"closed", state.m_is_closed},
             {"paused_ms", state.m_failing_since
                               ? nlohmann::json(to_milliseconds(
                                     now() - *state.m_failing_since))
                               : nlohmann::json()},
             {"waiting", state.m_waiting ? nlohmann::json(*state.m_waiting)
                                         : nlohmann::json()},
             {"open", counters.m_connections_open},
             {"accepted", counters.m_connections_accepted},
             {"refused", count_refused(*server)},
             {"accepts_failed", counters.m_accepts_failed}});
    }
    return list;
}

nlohmann::json describe_loop_delay(entry_host const& host)
{
    auto activities = nlohmann::json::object();
    for (auto const& [name, longest] : host.m_loop_delay.m_longest_activities)
    {
        activities[name] = to_milliseconds(longest);
    }
    return {{"late_ms", to_milliseconds(host.m_loop_delay.m_last)},
            {"longest_late_ms", to_milliseconds(host.m_loop_delay.m_longest)},
            {"longest_activities_ms", std::move(activities)}};
}

void add_self_report_samples(entry_host const& host,
                             std::vector<metrics::sample>& samples)
{
    add_per_listener(
        host,
        {"hawthornspur_listener_accepted_total",
         "Connections accepted by each listener.",
         0,
         true,
         {}},
        [](net::http_server const& server) {
            return static_cast<double>(
                server.counters().m_connections_accepted);
        },
        samples);
    add_per_listener(
        host,
        {"hawthornspur_listener_refused_total",
         "Requests and connections that each listener refused by itself.",
         0,
         true,
         {}},
        [](net::http_server const& server)
        { return static_cast<double>(count_refused(server)); },
        samples);
    add_per_listener(
        host,
        {"hawthornspur_listener_paused_seconds",
         "Time for which each listener has not been able to accept.",
         0,
         false,
         {}},
        [](net::http_server const& server)
        {
            auto const since = server.listener().m_failing_since;
            return since ? to_seconds(now() - *since) : 0;
        },
        samples);
    add_per_listener(
        host,
        {"hawthornspur_listener_waiting",
         "Connections in the operating system's queue of each listener.",
         0,
         false,
         {}},
        [](net::http_server const& server) {
            return static_cast<double>(server.listener().m_waiting.value_or(0));
        },
        samples);
    samples.push_back({"hawthornspur_loop_late_seconds",
                       "How late the event loop last ran.",
                       to_seconds(host.m_loop_delay.m_last),
                       false,
                       {}});
    samples.push_back({"hawthornspur_loop_late_longest_seconds",
                       "How late the event loop ran at most.",
                       to_seconds(host.m_loop_delay.m_longest),
                       false,
                       {}});
    for (auto const& [name, longest] : host.m_loop_delay.m_longest_activities)
    {
        samples.push_back({"hawthornspur_longest_activity_seconds",
                           "Longest time of an activity of the event loop, of "
                           "those that were the longest of an interval.",
                           to_seconds(longest),
                           false,
                           {{"activity", name}}});
    }
}

} // namespace hawthornspur::serve
