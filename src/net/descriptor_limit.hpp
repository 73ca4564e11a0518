#ifndef HAWTHORNSPUR_NET_DESCRIPTOR_LIMIT_HPP
#define HAWTHORNSPUR_NET_DESCRIPTOR_LIMIT_HPP

#include <cstddef>

namespace hawthornspur::net
{

/// Number of descriptors that the operating system allows this process.
std::size_t descriptor_limit_of_process() noexcept;

} // namespace hawthornspur::net

#endif
