#ifndef HAWTHORNSPUR_CORE_RAMP_SUM_HPP
#define HAWTHORNSPUR_CORE_RAMP_SUM_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

namespace hawthornspur::core
{

// The requests that go before a new one are the sum over all flows of the
// requests that each flow starts until a virtual time. In an overload with many
// customers this sum is computed for each arrival, so it must not visit them
// all.

/// A sum of ramps. A ramp is zero before its position, and from there on
/// m_step + m_slope * (time - position). Insertion, removal and evaluation take
/// O(log n) expected time.
class ramp_sum
{
public:
    struct ramp
    {
        double m_position = 0;
        double m_slope = 0;
        double m_step = 0;
        /// Distinguishes ramps of the same position.
        std::uint64_t m_id = 0;
    };

    void insert(ramp const& added);

    /// Removes the ramp with this position and id, which must be in the sum.
    void remove(double position, std::uint64_t id);

    double value_at(double time) const;

private:
    static constexpr std::uint32_t none = UINT32_MAX;

    /// Node of a treap with the sums of its subtree.
    struct node
    {
        ramp m_ramp;
        std::uint64_t m_order = 0;
        std::uint32_t m_left = none;
        std::uint32_t m_right = none;
        double m_slopes = 0;
        double m_slopes_by_position = 0;
        double m_steps = 0;
    };

    struct pair_of_trees
    {
        std::uint32_t m_left = none;
        std::uint32_t m_right = none;
    };

    void update(std::uint32_t index);
    /// Splits into ramps before (position, id) and those from it on.
    pair_of_trees split(std::uint32_t root, double position, std::uint64_t id);
    std::uint32_t merge(std::uint32_t left, std::uint32_t right);

    std::vector<node> m_nodes;
    std::vector<std::uint32_t> m_free;
    std::uint32_t m_root = none;
    std::uint64_t m_inserted = 0;
};

} // namespace hawthornspur::core

#endif
