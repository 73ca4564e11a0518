#include "base/text.hpp"
#include "load_generator/report.hpp"
#include <hawthornspur/result_code.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

namespace hawthornspur::tools
{

namespace
{

constexpr int label_width = 26;
constexpr int column_width = 12;

constexpr auto percentiles =
    std::to_array<char const*>({"p50", "p90", "p99", "p99.9", "max"});

std::string code_name(std::string const& number)
{
    auto const parsed = parse_number<std::uint16_t>(number).value_or(0);
    auto const table = result_code_table();
    auto const row = std::find_if(
        table.begin(), table.end(),
        [&](result_code_info const& entry)
        { return static_cast<std::uint16_t>(entry.m_code) == parsed; });
    return row == table.end() ? "unknown code" : std::string(row->m_name);
}

void write_latencies(std::ostream& out, std::string const& label,
                     nlohmann::json const& summary)
{
    out << std::left << std::setw(label_width) << label << std::right;
    for (auto const* name : percentiles)
    {
        out << std::setw(column_width) << std::setprecision(3) << std::fixed
            << summary.at(name).get<double>();
    }
    out << '\n';
}

/// A figure of a report, identified by its JSON pointer.
struct figure
{
    char const* m_label;
    char const* m_path;
};

constexpr auto compared_figures = std::to_array<figure>({
    {"offered", "/counts/offered"},
    {"good", "/counts/good"},
    {"refused", "/counts/refused"},
    {"failed", "/counts/failed"},
    {"error status", "/counts/error_status"},
    {"latency p50 ms", "/latency_ms/p50"},
    {"latency p90 ms", "/latency_ms/p90"},
    {"latency p99 ms", "/latency_ms/p99"},
    {"latency p99.9 ms", "/latency_ms/p99.9"},
    {"excess p50 ms", "/excess_ms/p50"},
    {"excess p99 ms", "/excess_ms/p99"},
    {"refusal p99 ms", "/refusal_ms/p99"},
    {"target probes", "/targets/probes"},
    {"target connections", "/targets/connections"},
});

} // namespace

std::string to_text(nlohmann::json const& report)
{
    std::ostringstream out;
    out << "run " << report.at("run").get<std::string>() << ", seed "
        << report.at("plan").at("seed") << '\n';
    for (auto const& [name, count] : report.at("counts").items())
    {
        out << std::left << std::setw(label_width) << name << std::right
            << std::setw(column_width) << count.get<std::uint64_t>() << '\n';
    }
    for (auto const& [code, count] : report.at("codes").items())
    {
        out << std::left << std::setw(label_width)
            << code + " " + code_name(code) << std::right
            << std::setw(column_width) << count.get<std::uint64_t>() << '\n';
    }
    for (auto const& [name, count] : report.at("audit").items())
    {
        if (count.is_number())
        {
            out << std::left << std::setw(label_width) << name << std::right
                << std::setw(column_width) << count.get<std::uint64_t>()
                << '\n';
        }
    }
    for (auto const& target : report.at("audit").at("unreachable_targets"))
    {
        out << "runs unknown: target " << target.get<std::string>()
            << " did not answer\n";
    }
    out << '\n' << std::left << std::setw(label_width) << "ms" << std::right;
    for (auto const* name : percentiles)
    {
        out << std::setw(column_width) << name;
    }
    out << '\n';
    write_latencies(out, "latency", report.at("latency_ms"));
    write_latencies(out, "beyond service time", report.at("excess_ms"));
    write_latencies(out, "refusals", report.at("refusal_ms"));
    for (auto const& [name, kind] : report.at("kinds").items())
    {
        write_latencies(out, "latency of " + name, kind.at("latency_ms"));
    }
    out << "generator late by at most "
        << report.at("generator").at("max_lag_ms").get<double>() << " ms\n";
    return out.str();
}

std::string compare_reports(std::vector<named_report> const& reports)
{
    std::ostringstream out;
    out << std::left << std::setw(label_width) << "" << std::right;
    for (auto const& named : reports)
    {
        out << std::setw(column_width * 2) << named.m_name;
    }
    out << '\n' << std::setprecision(3) << std::fixed;
    for (auto const& row : compared_figures)
    {
        nlohmann::json::json_pointer const path(row.m_path);
        auto const value_of = [&](nlohmann::json const& report)
        {
            return report.contains(path) ? report.at(path).get<double>() : 0.0;
        };
        double const base = value_of(reports.front().m_report);
        out << std::left << std::setw(label_width) << row.m_label << std::right;
        for (auto const& named : reports)
        {
            double const number = value_of(named.m_report);
            out << std::setw(column_width) << number << std::setw(column_width);
            if (base > 0)
            {
                out << number / base;
            }
            else
            {
                out << "-";
            }
        }
        out << '\n';
    }
    return out.str();
}

} // namespace hawthornspur::tools
