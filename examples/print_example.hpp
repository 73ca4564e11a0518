#ifndef HAWTHORNSPUR_EXAMPLES_PRINT_EXAMPLE_HPP
#define HAWTHORNSPUR_EXAMPLES_PRINT_EXAMPLE_HPP

#include <hawthornspur/configuration_builder.hpp>

#include <cstdint>
#include <iostream>
#include <string>
#include <variant>
#include <vector>

namespace hawthornspur::examples
{

/// Adds targets `name`-1 to `name`-`count` on 127.0.0.1 with consecutive ports
/// from `first_port`, assigned to the zones round-robin.
inline void add_targets(service_builder& service, std::string const& name,
                        int count, std::uint16_t first_port,
                        std::vector<zone_name> const& zones, int slots,
                        int max_connections)
{
    for (int i = 0; i < count; ++i)
    {
        service.add(target_declaration{
            .m_name = name + "-" + std::to_string(i + 1),
            .m_zone = zones[static_cast<std::size_t>(i) % zones.size()],
            .m_address = "127.0.0.1",
            .m_port = static_cast<std::uint16_t>(first_port + i),
            .m_slots = slots,
            .m_max_connections = max_connections});
    }
}

/// Prints the configuration document and returns 0. If it is invalid, prints
/// its faults to standard error and returns 2, the exit code of the commands
/// for this case.
inline int print(configuration_builder const& builder)
{
    constexpr int invalid_document = 2;
    auto const printed = builder.print();
    if (auto const* text = std::get_if<std::string>(&printed))
    {
        std::cout << *text;
        return 0;
    }
    for (auto const& fault :
         std::get<std::vector<configuration_fault>>(printed))
    {
        std::cerr << fault.m_path << ": " << fault.m_message << " ("
                  << static_cast<unsigned>(fault.m_code) << ")\n";
    }
    return invalid_document;
}

} // namespace hawthornspur::examples

#endif
