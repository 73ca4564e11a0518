#ifndef HAWTHORNSPUR_BENCH_POLICY_GOALS_HPP
#define HAWTHORNSPUR_BENCH_POLICY_GOALS_HPP

#include "report.hpp"

#include <string>
#include <vector>

namespace hawthornspur::bench
{

/// A performance goal of docs/design.md, section 1, and the measured figure.
struct goal
{
    std::string m_deployment;
    std::string m_text;
    double m_figure = 0;
    double m_bound = 0;
    /// Whether the bound is a minimum instead of a maximum.
    bool m_is_minimum = false;
};

/// Whether the figure is within the bound.
bool is_met(goal const& g);
void print_goals(std::vector<goal> const& goals);

struct bench_options
{
    std::uint64_t m_seed = 1;
    core::queue_order m_order = core::queue_order::first_come;
    /// Runs only scenarios whose name contains this text.
    std::string m_filter;
};

/// Runs the scenarios of one deployment, prints their tables and appends the
/// goals.
void run_deployment(deployment const& plan, bench_options const& options,
                    std::vector<goal>& goals);

} // namespace hawthornspur::bench

#endif
