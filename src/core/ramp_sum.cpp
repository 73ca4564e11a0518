#include "core/ramp_sum.hpp"

#include <cassert>
#include <tuple>

namespace hawthornspur::core
{

namespace
{

/// A fixed sequence that keeps the expected depth logarithmic (SplitMix64).
std::uint64_t scramble(std::uint64_t value)
{
    value += 0x9E3779B97F4A7C15U;
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9U;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBU;
    return value ^ (value >> 31U);
}

bool is_before(ramp_sum::ramp const& ramp, double position, std::uint64_t id)
{
    return std::tie(ramp.m_position, ramp.m_id) < std::tie(position, id);
}

} // namespace

void ramp_sum::update(std::uint32_t index)
{
    auto& entry = m_nodes[index];
    entry.m_slopes = entry.m_ramp.m_slope;
    entry.m_slopes_by_position = entry.m_ramp.m_slope * entry.m_ramp.m_position;
    entry.m_steps = entry.m_ramp.m_step;
    for (auto const child : {entry.m_left, entry.m_right})
    {
        if (child != none)
        {
            entry.m_slopes += m_nodes[child].m_slopes;
            entry.m_slopes_by_position += m_nodes[child].m_slopes_by_position;
            entry.m_steps += m_nodes[child].m_steps;
        }
    }
}

// NOLINTNEXTLINE(misc-no-recursion): the expected depth is logarithmic.
ramp_sum::pair_of_trees ramp_sum::split(std::uint32_t root, double position,
                                        std::uint64_t id)
{
    if (root == none)
    {
        return {};
    }
    if (is_before(m_nodes[root].m_ramp, position, id))
    {
        auto const parts = split(m_nodes[root].m_right, position, id);
        m_nodes[root].m_right = parts.m_left;
        update(root);
        return {root, parts.m_right};
    }
    auto const parts = split(m_nodes[root].m_left, position, id);
    m_nodes[root].m_left = parts.m_right;
    update(root);
    return {parts.m_left, root};
}

// NOLINTNEXTLINE(misc-no-recursion): the expected depth is logarithmic.
std::uint32_t ramp_sum::merge(std::uint32_t left, std::uint32_t right)
{
    if (left == none || right == none)
    {
        return left == none ? right : left;
    }
    if (m_nodes[left].m_order < m_nodes[right].m_order)
    {
        m_nodes[left].m_right = merge(m_nodes[left].m_right, right);
        update(left);
        return left;
    }
    m_nodes[right].m_left = merge(left, m_nodes[right].m_left);
    update(right);
    return right;
}

void ramp_sum::insert(ramp const& added)
{
    if (m_free.empty())
    {
        m_free.push_back(static_cast<std::uint32_t>(m_nodes.size()));
        m_nodes.emplace_back();
    }
    auto const index = m_free.back();
    m_free.pop_back();
    m_nodes[index] = {};
    m_nodes[index].m_ramp = added;
    m_nodes[index].m_order = scramble(m_inserted++);
    update(index);
    auto const parts = split(m_root, added.m_position, added.m_id);
    m_root = merge(merge(parts.m_left, index), parts.m_right);
}

void ramp_sum::remove(double position, std::uint64_t id)
{
    auto const parts = split(m_root, position, id);
    auto const rest = split(parts.m_right, position, id + 1);
    assert(rest.m_left != none);
    if (rest.m_left != none)
    {
        m_free.push_back(rest.m_left);
    }
    m_root = merge(parts.m_left, rest.m_right);
}

double ramp_sum::value_at(double time) const
{
    double slopes = 0;
    double slopes_by_position = 0;
    double steps = 0;
    for (auto index = m_root; index != none;)
    {
        auto const& entry = m_nodes[index];
        if (entry.m_ramp.m_position > time)
        {
            index = entry.m_left;
            continue;
        }
        slopes += entry.m_ramp.m_slope;
        slopes_by_position += entry.m_ramp.m_slope * entry.m_ramp.m_position;
        steps += entry.m_ramp.m_step;
        if (entry.m_left != none)
        {
            slopes += m_nodes[entry.m_left].m_slopes;
            slopes_by_position += m_nodes[entry.m_left].m_slopes_by_position;
            steps += m_nodes[entry.m_left].m_steps;
        }
        index = entry.m_right;
    }
    return steps + slopes * time - slopes_by_position;
}

} // namespace hawthornspur::core
