#include "common/json_fields.hpp"
#include "common/program.hpp"
#include "load_generator/generator.hpp"
#include "load_generator/plot.hpp"
#include "load_generator/report.hpp"
#include "net/event_loop.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <random>

ABSL_FLAG(std::string, plan, "", "load plan: JSON file or JSON text");
ABSL_FLAG(std::string, entry, "", "entry hosts: address:port,address:port");
ABSL_FLAG(std::string, zones, "", "zones of the callers: a,b,c");
ABSL_FLAG(int, callers, 3,
          "number of callers, each with its own connections and sessions");
ABSL_FLAG(
    bool, send_copies, false,
    "resend at-most-once requests with unknown outcome with the same key");
ABSL_FLAG(std::string, direct, "",
          "targets to call without a load balancer: address:port,...");
ABSL_FLAG(std::string, direct_policy, "two_choice", "two_choice or random");
ABSL_FLAG(std::string, targets, "",
          "target emulators whose runs are audited: address:port,...");
ABSL_FLAG(std::string, run_id, "", "prefix of request ids; random by default");
ABSL_FLAG(int, patience_ms, 5000,
          "maximum wait for outstanding requests after the last arrival");
ABSL_FLAG(int, settle_ms, 300,
          "wait before the runs are fetched from the targets");
ABSL_FLAG(int, bucket_ms, 500, "width of the time buckets");
ABSL_FLAG(std::string, json, "", "output file for the JSON report");
ABSL_FLAG(std::string, svg, "", "output file for the SVG plot");
ABSL_FLAG(bool, strict, false,
          "exit with status 3 if an invariant was violated");
ABSL_FLAG(
    bool, compare, false,
    "compare and plot the JSON reports given as arguments; sends no load");

namespace hawthornspur::tools
{

namespace
{

constexpr int violation_exit_status = 3;

result<std::string> read_plan_text()
{
    auto const flag_value = absl::GetFlag(FLAGS_plan);
    return flag_value.starts_with("{") ? result<std::string>(flag_value)
                                       : read_file(flag_value);
}

std::string choose_run_id()
{
    auto flag_value = absl::GetFlag(FLAGS_run_id);
    if (flag_value.empty())
    {
        flag_value = "r" + std::to_string(std::random_device{}());
    }
    return flag_value;
}

std::vector<std::string> split_list(std::string const& text)
{
    std::vector<std::string> parts;
    std::string part;
    for (auto const c : text + ",")
    {
        if (c != ',')
        {
            part += c;
        }
        else if (!part.empty())
        {
            parts.push_back(std::exchange(part, {}));
        }
    }
    return parts;
}

result<sender> make_sender(net::event_loop& loop, std::uint64_t seed)
{
    auto const direct = parse_endpoints(absl::GetFlag(FLAGS_direct));
    auto const entry = parse_endpoints(absl::GetFlag(FLAGS_entry));
    for (auto const* parsed : {&direct, &entry})
    {
        if (!has_value(*parsed))
        {
            return failure(*parsed);
        }
    }
    if (value(direct).empty() == value(entry).empty())
    {
        return make_error(result_code::usage,
                          "exactly one of --entry and --direct is required");
    }
    if (!value(direct).empty())
    {
        auto const policy = absl::GetFlag(FLAGS_direct_policy) == "random"
                                ? direct_policy::random
                                : direct_policy::two_choice;
        return make_direct_sender(loop, value(direct), policy, seed);
    }
    return make_entry_sender(
        loop, {.m_entry_hosts = value(entry),
               .m_zones = split_list(absl::GetFlag(FLAGS_zones)),
               .m_callers = std::max(1, absl::GetFlag(FLAGS_callers)),
               .m_send_copies = absl::GetFlag(FLAGS_send_copies),
               .m_seed = seed});
}

status write_file(std::string const& path, std::string const& text)
{
    if (path.empty())
    {
        return success();
    }
    std::ofstream file(path);
    file << text;
    file.flush();
    return file.good() ? success()
                       : make_error(result_code::file_unreadable,
                                    "cannot write " + path);
}

/// Runs the event loop for --settle_ms, so that requests abandoned by their
/// callers can still run and be recorded by the targets.
status wait_until_settled(net::event_loop& loop)
{
    auto const timer = net::timer::create(loop, [&loop] { loop.stop(); });
    if (!has_value(timer))
    {
        return failure(timer);
    }
    value(timer)->start(
        std::chrono::milliseconds(absl::GetFlag(FLAGS_settle_ms)));
    loop.run();
    return success();
}

result<nlohmann::json> run_load_test()
{
    auto text = read_plan_text();
    auto plan = has_value(text) ? read_plan(value(text))
                                : result<load_plan>(failure(text));
    auto const targets = parse_endpoints(absl::GetFlag(FLAGS_targets));
    if (!has_value(plan))
    {
        return failure(plan);
    }
    if (!has_value(targets))
    {
        return failure(targets);
    }
    auto loop_result = net::event_loop::create();
    if (!has_value(loop_result))
    {
        return failure(loop_result);
    }
    auto const loop = take(std::move(loop_result));
    auto const send = make_sender(*loop, value(plan).m_seed);
    if (!has_value(send))
    {
        return failure(send);
    }
    auto const run =
        run_load(*loop, value(plan), choose_run_id(), value(send),
                 std::chrono::milliseconds(absl::GetFlag(FLAGS_patience_ms)));
    if (!has_value(run))
    {
        return failure(run);
    }
    auto const settled = wait_until_settled(*loop);
    if (!has_value(settled))
    {
        return failure(settled);
    }
    auto const target_runs = fetch_target_records(*loop, value(targets));
    if (!has_value(target_runs))
    {
        return failure(target_runs);
    }
    auto report = make_report(
        value(run), value(target_runs),
        std::chrono::milliseconds(std::max(1, absl::GetFlag(FLAGS_bucket_ms))));
    report["caller"] = value(send).m_counters();
    return report;
}

result<int> run_once()
{
    auto const measured = run_load_test();
    if (!has_value(measured))
    {
        return failure(measured);
    }
    auto const& report = value(measured);
    std::cout << to_text(report);
    auto const json_written =
        write_file(absl::GetFlag(FLAGS_json), report.dump(1));
    auto const svg_written = write_file(absl::GetFlag(FLAGS_svg),
                                        absl::GetFlag(FLAGS_svg).empty()
                                            ? std::string()
                                            : plot_reports({{"run", report}}));
    for (auto const* written : {&json_written, &svg_written})
    {
        if (!has_value(*written))
        {
            return failure(*written);
        }
    }
    bool const has_violations =
        absl::GetFlag(FLAGS_strict) && count_violations(report) > 0;
    return has_violations ? violation_exit_status : 0;
}

result<int> compare_files(std::vector<std::string> const& paths)
{
    std::vector<named_report> reports;
    for (auto const& path : paths)
    {
        auto const text = read_file(path);
        auto const parsed = has_value(text)
                                ? parse_object(value(text))
                                : result<nlohmann::json>(failure(text));
        if (!has_value(parsed))
        {
            return failure(parsed);
        }
        auto const slash = path.find_last_of('/');
        reports.push_back(
            {path.substr(slash == std::string::npos ? 0 : slash + 1),
             value(parsed)});
    }
    if (reports.empty())
    {
        return make_error(result_code::usage,
                          "--compare needs at least one report file");
    }
    std::cout << compare_reports(reports);
    auto const svg_written =
        write_file(absl::GetFlag(FLAGS_svg), plot_reports(reports));
    return has_value(svg_written) ? result<int>(0) : failure(svg_written);
}

} // namespace

} // namespace hawthornspur::tools

int main(int argc, char** argv)
{
    using namespace hawthornspur;
    absl::SetProgramUsageMessage(
        "Sends an open-loop load and reports the results of its requests.");
    auto const arguments = absl::ParseCommandLine(argc, argv);
    auto const exit_status =
        absl::GetFlag(FLAGS_compare)
            ? tools::compare_files({arguments.begin() + 1, arguments.end()})
            : tools::run_once();
    return has_value(exit_status) ? value(exit_status)
                                  : tools::report_failure(failure(exit_status));
}
