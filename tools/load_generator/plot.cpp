#include "load_generator/plot.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <sstream>
#include <utility>

namespace hawthornspur::tools
{

namespace
{

using point = std::pair<double, double>;

/// Drawing area of a panel in pixels, and its axis ranges. On a logarithmic
/// axis the range is that of the logarithms.
struct plot_panel
{
    double m_left = 0;
    double m_top = 0;
    double m_width = 0;
    double m_height = 0;
    point m_x_range;
    point m_y_range;
};

constexpr double panel_width = 640;
constexpr double panel_height = 300;
constexpr double margin_left = 80;
constexpr double margin_top = 50;
constexpr double panel_gap = 110;
constexpr double legend_width = 220;
constexpr double tick_length = 5;

/// Okabe-Ito palette, which is distinguishable with the common kinds of colour
/// blindness.
constexpr auto palette = std::to_array<char const*>(
    {"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9"});

double to_pixel_x(plot_panel const& panel, double x)
{
    return panel.m_left + (x - panel.m_x_range.first) /
                              (panel.m_x_range.second - panel.m_x_range.first) *
                              panel.m_width;
}

double to_pixel_y(plot_panel const& panel, double y)
{
    return panel.m_top + panel.m_height -
           (y - panel.m_y_range.first) /
               (panel.m_y_range.second - panel.m_y_range.first) *
               panel.m_height;
}

std::string escape(std::string const& text)
{
    std::string escaped;
    for (auto const c : text)
    {
        switch (c)
        {
        case '<':
            escaped += "&lt;";
            break;
        case '&':
            escaped += "&amp;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += c;
        }
    }
    return escaped;
}

void write_text(std::ostream& out, double x, double y, std::string const& text,
                char const* anchor, char const* attributes = "")
{
    out << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor
        << "\" " << attributes << ">" << escape(text) << "</text>\n";
}

void write_frame(std::ostream& out, plot_panel const& panel,
                 std::string const& title, std::string const& x_label,
                 std::string const& y_label)
{
    out << "<rect x=\"" << panel.m_left << "\" y=\"" << panel.m_top
        << "\" width=\"" << panel.m_width << "\" height=\"" << panel.m_height
        << "\" fill=\"none\" stroke=\"#333\"/>\n";
    constexpr double title_gap = 12;
    constexpr double x_label_gap = 42;
    constexpr double y_label_gap = 55;
    write_text(out, panel.m_left, panel.m_top - title_gap, title, "start",
               "font-weight=\"bold\"");
    write_text(out, panel.m_left + panel.m_width / 2,
               panel.m_top + panel.m_height + x_label_gap, x_label, "middle");
    auto const y = panel.m_top + panel.m_height / 2;
    auto const x = panel.m_left - y_label_gap;
    std::ostringstream rotation;
    rotation << "transform=\"rotate(-90 " << x << ' ' << y << ")\"";
    write_text(out, x, y, y_label, "middle", rotation.str().c_str());
}

void write_x_tick(std::ostream& out, plot_panel const& panel, double position,
                  std::string const& label)
{
    constexpr double label_gap = 20;
    auto const x = to_pixel_x(panel, position);
    auto const bottom = panel.m_top + panel.m_height;
    out << "<line x1=\"" << x << "\" y1=\"" << panel.m_top << "\" x2=\"" << x
        << "\" y2=\"" << bottom + tick_length << "\" stroke=\"#ddd\"/>\n";
    write_text(out, x, bottom + label_gap, label, "middle");
}

void write_y_tick(std::ostream& out, plot_panel const& panel, double position,
                  std::string const& label)
{
    constexpr double label_gap = 8;
    constexpr double half_line = 4;
    auto const y = to_pixel_y(panel, position);
    out << "<line x1=\"" << panel.m_left - tick_length << "\" y1=\"" << y
        << "\" x2=\"" << panel.m_left + panel.m_width << "\" y2=\"" << y
        << "\" stroke=\"#ddd\"/>\n";
    write_text(out, panel.m_left - label_gap, y + half_line, label, "end");
}

void write_line(std::ostream& out, plot_panel const& panel,
                std::vector<point> const& points, char const* colour,
                char const* dashes)
{
    out << "<polyline fill=\"none\" stroke=\"" << colour
        << "\" stroke-width=\"2\" stroke-dasharray=\"" << dashes
        << "\" points=\"";
    for (auto const& [x, y] : points)
    {
        out << to_pixel_x(panel, x) << ',' << to_pixel_y(panel, y) << ' ';
    }
    out << "\"/>\n";
}

struct legend_row
{
    std::string m_label;
    char const* m_colour;
    char const* m_dashes;
};

void write_legend(std::ostream& out, plot_panel const& panel,
                  std::vector<legend_row> const& rows)
{
    constexpr double line_height = 20;
    constexpr double sample_length = 28;
    constexpr double gap = 14;
    double y = panel.m_top + gap;
    auto const x = panel.m_left + panel.m_width + gap;
    for (auto const& row : rows)
    {
        out << "<line x1=\"" << x << "\" y1=\"" << y << "\" x2=\""
            << x + sample_length << "\" y2=\"" << y << "\" stroke=\""
            << row.m_colour << "\" stroke-width=\"2\" stroke-dasharray=\""
            << row.m_dashes << "\"/>\n";
        constexpr double half_line = 4;
        write_text(out, x + sample_length + half_line, y + half_line,
                   row.m_label, "start");
        y += line_height;
    }
}

std::string format_number(double number)
{
    std::ostringstream text;
    text << std::setprecision(6) << number;
    return text.str();
}

/// Returns a distance between ticks that yields about five ticks: 1, 2 or 5
/// times a power of ten.
double tick_step(double range)
{
    constexpr double tick_count = 5;
    double const raw_step = std::max(range / tick_count, 1e-9);
    double const magnitude = std::pow(10, std::floor(std::log10(raw_step)));
    for (double const factor : {1.0, 2.0, 5.0})
    {
        if (raw_step <= factor * magnitude)
        {
            return factor * magnitude;
        }
    }
    return 10 * magnitude;
}

/// Returns the position of a quantile on a logarithmic axis that expands the
/// tail: 1 for p90, 2 for p99.
double tail_position(double quantile)
{
    constexpr double min_tail_share = 1e-9;
    return -std::log10(std::max(1 - quantile, min_tail_share));
}

void draw_percentiles(std::ostream& out, plot_panel panel,
                      std::vector<named_report> const& reports)
{
    std::vector<std::vector<point>> series;
    double min_ms = 1e9;
    double max_ms = 0;
    double max_x = 1;
    for (auto const& named : reports)
    {
        auto& points = series.emplace_back();
        for (auto const& entry : named.m_report.at("curve"))
        {
            auto const x = tail_position(entry[0].get<double>());
            auto const ms = std::max(entry[1].get<double>(), 1e-3);
            points.emplace_back(x, std::log10(ms));
            min_ms = std::min(min_ms, ms);
            max_ms = std::max(max_ms, ms);
            max_x = std::max(max_x, x);
        }
    }
    panel.m_x_range = {0, max_x};
    panel.m_y_range = {
        std::floor(std::log10(std::min(min_ms, 1.0))),
        std::max(1.0, std::ceil(std::log10(std::max(max_ms, 1e-3))))};
    write_frame(out, panel, "Latency of answered calls", "percentile",
                "latency, ms (log)");
    constexpr auto labels = std::to_array<char const*>(
        {"min", "p90", "p99", "p99.9", "p99.99", "p99.999", "p99.9999"});
    for (int i = 0; i <= static_cast<int>(max_x + 1e-6); ++i)
    {
        write_x_tick(out, panel, i,
                     labels.at(std::min<std::size_t>(
                         static_cast<std::size_t>(i), labels.size() - 1)));
    }
    write_x_tick(out, panel, tail_position(0.5), "p50");
    for (auto y = panel.m_y_range.first; y <= panel.m_y_range.second; ++y)
    {
        write_y_tick(out, panel, y, format_number(std::pow(10, y)));
    }
    std::vector<legend_row> legend;
    for (std::size_t i = 0; i < series.size(); ++i)
    {
        auto const* colour = palette.at(i % palette.size());
        write_line(out, panel, series[i], colour, "none");
        legend.push_back({reports[i].m_name, colour, "none"});
    }
    write_legend(out, panel, legend);
}

std::vector<point> rate_points(nlohmann::json const& timeline, char const* name)
{
    double const bucket = timeline.at("bucket_ms").get<double>() / 1000;
    std::vector<point> points;
    auto const& counts = timeline.at(name);
    // The last bucket is omitted because it covers less time than the others.
    for (std::size_t i = 0; i + 1 < counts.size(); ++i)
    {
        points.emplace_back((static_cast<double>(i) + 0.5) * bucket,
                            counts[i].get<double>() / bucket);
    }
    return points;
}

void draw_goodput(std::ostream& out, plot_panel panel,
                  std::vector<named_report> const& reports)
{
    struct rate_series
    {
        std::vector<point> m_points;
        legend_row m_row;
    };
    std::vector<rate_series> all_series;
    for (std::size_t i = 0; i < reports.size(); ++i)
    {
        auto const* colour = palette.at(i % palette.size());
        auto const& timeline = reports[i].m_report.at("timeline");
        auto const& name = reports[i].m_name;
        all_series.push_back({rate_points(timeline, "offered"),
                              {name + ": offered", colour, "2 4"}});
        all_series.push_back({rate_points(timeline, "goodput"),
                              {name + ": goodput", colour, "none"}});
        all_series.push_back({rate_points(timeline, "refused"),
                              {name + ": refused", colour, "8 4"}});
    }
    double max_x = 1e-3;
    double max_rate = 1;
    for (auto const& rate_line : all_series)
    {
        for (auto const& [x, y] : rate_line.m_points)
        {
            max_x = std::max(max_x, x);
            max_rate = std::max(max_rate, y);
        }
    }
    panel.m_x_range = {0, max_x};
    panel.m_y_range = {0, max_rate * 1.05};
    write_frame(out, panel, "Load over time", "time, s", "calls per second");
    for (double x = 0; x <= max_x; x += tick_step(max_x))
    {
        write_x_tick(out, panel, x, format_number(x));
    }
    for (double y = 0; y <= max_rate; y += tick_step(max_rate))
    {
        write_y_tick(out, panel, y, format_number(y));
    }
    std::vector<legend_row> legend;
    for (auto const& rate_line : all_series)
    {
        write_line(out, panel, rate_line.m_points, rate_line.m_row.m_colour,
                   rate_line.m_row.m_dashes);
        legend.push_back(rate_line.m_row);
    }
    write_legend(out, panel, legend);
}

} // namespace

std::string plot_reports(std::vector<named_report> const& reports)
{
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\""
        << margin_left + panel_width + legend_width << "\" height=\""
        << margin_top + 2 * panel_height + panel_gap + panel_gap / 2
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << R"(<rect width="100%" height="100%" fill="white"/>)" << '\n';
    plot_panel const upper{margin_left,  margin_top, panel_width,
                           panel_height, {},         {}};
    auto lower = upper;
    lower.m_top += panel_height + panel_gap;
    draw_percentiles(out, upper, reports);
    draw_goodput(out, lower, reports);
    out << "</svg>\n";
    return out.str();
}

} // namespace hawthornspur::tools
