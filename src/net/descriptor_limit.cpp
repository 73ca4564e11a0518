#include "net/descriptor_limit.hpp"

#include <sys/resource.h>

#include <limits>

namespace hawthornspur::net
{

std::size_t descriptor_limit_of_process() noexcept
{
    rlimit limit{};
    bool const is_known = ::getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
                          limit.rlim_cur != RLIM_INFINITY;
    return is_known ? limit.rlim_cur : std::numeric_limits<std::size_t>::max();
}

} // namespace hawthornspur::net
