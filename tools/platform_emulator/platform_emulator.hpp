#ifndef HAWTHORNSPUR_TOOLS_PLATFORM_EMULATOR_PLATFORM_EMULATOR_HPP
#define HAWTHORNSPUR_TOOLS_PLATFORM_EMULATOR_PLATFORM_EMULATOR_HPP

#include "base/result.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace hawthornspur::net
{
class event_loop;
} // namespace hawthornspur::net

namespace hawthornspur::tools
{

struct platform_settings
{
    std::string m_address = "127.0.0.1";
    /// 0: the kernel chooses a free port.
    std::uint16_t m_port = 0;
    /// Initial list of hosts: `{"hosts":[...]}`.
    std::string m_hosts = R"({"hosts":[]})";
    std::uint64_t m_seed = 1;
};

/// Serves the platform's key-value store and list of hosts over HTTP. Faults
/// can be changed at run time under /control. The paths are listed in
/// docs/design.md, section 4, "Platform", and in tools/README.md.
class platform_emulator
{
public:
    static result<std::unique_ptr<platform_emulator>>
    create(net::event_loop& loop, platform_settings const& settings);
    ~platform_emulator();
    platform_emulator(platform_emulator const&) = delete;
    platform_emulator& operator=(platform_emulator const&) = delete;

    std::uint16_t port() const noexcept;

    struct emulator_state;

private:
    explicit platform_emulator(std::unique_ptr<emulator_state> state);
    std::unique_ptr<emulator_state> m_state;
};

} // namespace hawthornspur::tools

#endif
