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
    /// 0 lets the kernel choose.
    std::uint16_t m_port = 0;
    /// `{"hosts":[...]}`
    std::string m_hosts = R"({"hosts":[]})";
    std::uint64_t m_seed = 1;
};

/// The platform's store and host list over HTTP, with faults that can be set
/// while it runs. Paths: design section 4, "Platform", and /control.
class platform_emulator
{
public:
    static result<std::unique_ptr<platform_emulator>>
    create(net::event_loop& loop, platform_settings const& settings);
    ~platform_emulator();
    platform_emulator(platform_emulator const&) = delete;
    platform_emulator& operator=(platform_emulator const&) = delete;

    std::uint16_t port() const noexcept;

    struct state;

private:
    explicit platform_emulator(std::unique_ptr<state> s);
    std::unique_ptr<state> m_state;
};

} // namespace hawthornspur::tools

#endif
