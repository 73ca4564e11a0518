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

/// The drawing area of a panel in pixels and its ranges in units of the plot,
/// after any logarithm.
struct panel
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

/// Colours that people with the common kinds of colour blindness can tell
/// apart (Okabe and Ito).
constexpr auto colours = std::to_array<char const*>(
    {"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9"});

double to_x(panel const& p, double x)
{
    return p.m_left + (x - p.m_x_range.first) /
                          (p.m_x_range.second - p.m_x_range.first) * p.m_width;
}

double to_y(panel const& p, double y)
{
    return p.m_top + p.m_height -
           (y - p.m_y_range.first) / (p.m_y_range.second - p.m_y_range.first) *
               p.m_height;
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
                char const* anchor, char const* extra = "")
{
    out << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor
        << "\" " << extra << ">" << escape(text) << "</text>\n";
}

void write_frame(std::ostream& out, panel const& p, std::string const& title,
                 std::string const& x_label, std::string const& y_label)
{
    out << "<rect x=\"" << p.m_left << "\" y=\"" << p.m_top << "\" width=\""
        << p.m_width << "\" height=\"" << p.m_height
        << "\" fill=\"none\" stroke=\"#333\"/>\n";
    constexpr double title_gap = 12;
    constexpr double x_label_gap = 42;
    constexpr double y_label_gap = 55;
    write_text(out, p.m_left, p.m_top - title_gap, title, "start",
               "font-weight=\"bold\"");
    write_text(out, p.m_left + p.m_width / 2,
               p.m_top + p.m_height + x_label_gap, x_label, "middle");
    auto const y = p.m_top + p.m_height / 2;
    auto const x = p.m_left - y_label_gap;
    std::ostringstream turn;
    turn << "transform=\"rotate(-90 " << x << ' ' << y << ")\"";
    write_text(out, x, y, y_label, "middle", turn.str().c_str());
}

void write_x_tick(std::ostream& out, panel const& p, double at,
                  std::string const& label)
{
    constexpr double label_gap = 20;
    auto const x = to_x(p, at);
    auto const bottom = p.m_top + p.m_height;
    out << "<line x1=\"" << x << "\" y1=\"" << p.m_top << "\" x2=\"" << x
        << "\" y2=\"" << bottom + tick_length << "\" stroke=\"#ddd\"/>\n";
    write_text(out, x, bottom + label_gap, label, "middle");
}

void write_y_tick(std::ostream& out, panel const& p, double at,
                  std::string const& label)
{
    constexpr double label_gap = 8;
    constexpr double half_line = 4;
    auto const y = to_y(p, at);
    out << "<line x1=\"" << p.m_left - tick_length << "\" y1=\"" << y
        << "\" x2=\"" << p.m_left + p.m_width << "\" y2=\"" << y
        << "\" stroke=\"#ddd\"/>\n";
    write_text(out, p.m_left - label_gap, y + half_line, label, "end");
}

void write_line(std::ostream& out, panel const& p,
                std::vector<point> const& points, char const* colour,
                char const* dashes)
{
    out << "<polyline fill=\"none\" stroke=\"" << colour
        << "\" stroke-width=\"2\" stroke-dasharray=\"" << dashes
        << "\" points=\"";
    for (auto const& [x, y] : points)
    {
        out << to_x(p, x) << ',' << to_y(p, y) << ' ';
    }
    out << "\"/>\n";
}

struct legend_row
{
    std::string m_label;
    char const* m_colour;
    char const* m_dashes;
};

void write_legend(std::ostream& out, panel const& p,
                  std::vector<legend_row> const& rows)
{
    constexpr double line_height = 20;
    constexpr double sample = 28;
    constexpr double gap = 14;
    double y = p.m_top + gap;
    auto const x = p.m_left + p.m_width + gap;
    for (auto const& row : rows)
    {
        out << "<line x1=\"" << x << "\" y1=\"" << y << "\" x2=\"" << x + sample
            << "\" y2=\"" << y << "\" stroke=\"" << row.m_colour
            << "\" stroke-width=\"2\" stroke-dasharray=\"" << row.m_dashes
            << "\"/>\n";
        constexpr double half_line = 4;
        write_text(out, x + sample + half_line, y + half_line, row.m_label,
                   "start");
        y += line_height;
    }
}

std::string short_number(double number)
{
    std::ostringstream text;
    text << std::setprecision(6) << number;
    return text.str();
}

/// Distance of ticks that gives about five of them: 1, 2 or 5 times a power
/// of ten.
double tick_step(double range)
{
    constexpr double wanted = 5;
    double const rough = std::max(range / wanted, 1e-9);
    double const power = std::pow(10, std::floor(std::log10(rough)));
    for (double const factor : {1.0, 2.0, 5.0})
    {
        if (rough <= factor * power)
        {
            return factor * power;
        }
    }
    return 10 * power;
}

/// The share as its distance from 1 on a logarithmic axis, so that the tail
/// has room: p90 at 1, p99 at 2.
double tail_axis(double share)
{
    constexpr double smallest = 1e-9;
    return -std::log10(std::max(1 - share, smallest));
}

void draw_percentiles(std::ostream& out, panel p,
                      std::vector<named_report> const& reports)
{
    std::vector<std::vector<point>> series;
    double low = 1e9;
    double high = 0;
    double right = 1;
    for (auto const& named : reports)
    {
        auto& points = series.emplace_back();
        for (auto const& entry : named.m_report.at("curve"))
        {
            auto const x = tail_axis(entry[0].get<double>());
            auto const ms = std::max(entry[1].get<double>(), 1e-3);
            points.emplace_back(x, std::log10(ms));
            low = std::min(low, ms);
            high = std::max(high, ms);
            right = std::max(right, x);
        }
    }
    p.m_x_range = {0, right};
    p.m_y_range = {std::floor(std::log10(std::min(low, 1.0))),
                   std::max(1.0, std::ceil(std::log10(std::max(high, 1e-3))))};
    write_frame(out, p, "Latency of answered calls", "percentile",
                "latency, ms (log)");
    constexpr auto labels = std::to_array<char const*>(
        {"min", "p90", "p99", "p99.9", "p99.99", "p99.999", "p99.9999"});
    for (int i = 0; i <= static_cast<int>(right + 1e-6); ++i)
    {
        write_x_tick(out, p, i,
                     labels.at(std::min<std::size_t>(
                         static_cast<std::size_t>(i), labels.size() - 1)));
    }
    // log10(2), for the median.
    write_x_tick(out, p, tail_axis(0.5), "p50");
    for (auto y = p.m_y_range.first; y <= p.m_y_range.second; ++y)
    {
        write_y_tick(out, p, y, short_number(std::pow(10, y)));
    }
    std::vector<legend_row> legend;
    for (std::size_t i = 0; i < series.size(); ++i)
    {
        auto const* colour = colours.at(i % colours.size());
        write_line(out, p, series[i], colour, "none");
        legend.push_back({reports[i].m_name, colour, "none"});
    }
    write_legend(out, p, legend);
}

std::vector<point> rate_line(nlohmann::json const& timeline, char const* name)
{
    double const bucket = timeline.at("bucket_ms").get<double>() / 1000;
    std::vector<point> points;
    auto const& counts = timeline.at(name);
    // The last bucket is shorter than the others.
    for (std::size_t i = 0; i + 1 < counts.size(); ++i)
    {
        points.emplace_back((static_cast<double>(i) + 0.5) * bucket,
                            counts[i].get<double>() / bucket);
    }
    return points;
}

void draw_goodput(std::ostream& out, panel p,
                  std::vector<named_report> const& reports)
{
    struct line
    {
        std::vector<point> m_points;
        legend_row m_row;
    };
    std::vector<line> lines;
    for (std::size_t i = 0; i < reports.size(); ++i)
    {
        auto const* colour = colours.at(i % colours.size());
        auto const& timeline = reports[i].m_report.at("timeline");
        auto const& name = reports[i].m_name;
        lines.push_back({rate_line(timeline, "offered"),
                         {name + ": offered", colour, "2 4"}});
        lines.push_back({rate_line(timeline, "goodput"),
                         {name + ": goodput", colour, "none"}});
        lines.push_back({rate_line(timeline, "refused"),
                         {name + ": refused", colour, "8 4"}});
    }
    double right = 1e-3;
    double high = 1;
    for (auto const& l : lines)
    {
        for (auto const& [x, y] : l.m_points)
        {
            right = std::max(right, x);
            high = std::max(high, y);
        }
    }
    p.m_x_range = {0, right};
    p.m_y_range = {0, high * 1.05};
    write_frame(out, p, "Load over time", "time, s", "calls per second");
    for (double x = 0; x <= right; x += tick_step(right))
    {
        write_x_tick(out, p, x, short_number(x));
    }
    for (double y = 0; y <= high; y += tick_step(high))
    {
        write_y_tick(out, p, y, short_number(y));
    }
    std::vector<legend_row> legend;
    for (auto const& l : lines)
    {
        write_line(out, p, l.m_points, l.m_row.m_colour, l.m_row.m_dashes);
        legend.push_back(l.m_row);
    }
    write_legend(out, p, legend);
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
    panel const upper{margin_left,  margin_top, panel_width,
                      panel_height, {},         {}};
    auto lower = upper;
    lower.m_top += panel_height + panel_gap;
    draw_percentiles(out, upper, reports);
    draw_goodput(out, lower, reports);
    out << "</svg>\n";
    return out.str();
}

} // namespace hawthornspur::tools
