#include "core/host_record_order.hpp"

#include "core/membership.hpp"

#include <tuple>

namespace hawthornspur::core
{

namespace
{

constexpr unsigned start_order_shift = 32;

int severity(host_state state) noexcept
{
    switch (state)
    {
    case host_state::suspected:
        return 1;
    case host_state::dead:
        return 2;
    default:
        return 0;
    }
}

auto order_key(host_record const& record) noexcept
{
    return std::tuple(record.m_version, record.m_incarnation,
                      severity(record.m_state));
}

} // namespace

std::uint64_t start_order(std::uint64_t version) noexcept
{
    return version >> start_order_shift;
}

std::uint64_t first_version_after(std::uint64_t version) noexcept
{
    return ((start_order(version) + 1) << start_order_shift) + 1;
}

bool is_newer(host_record const& a, host_record const& b) noexcept
{
    return order_key(a) > order_key(b);
}

} // namespace hawthornspur::core
