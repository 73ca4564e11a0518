#ifndef HAWTHORNSPUR_TOOLS_TARGET_EMULATOR_TARGET_EMULATOR_HPP
#define HAWTHORNSPUR_TOOLS_TARGET_EMULATOR_TARGET_EMULATOR_HPP

#include "base/result.hpp"
#include "target_emulator/faults.hpp"
#include "target_emulator/run_record.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace hawthornspur::net
{
class event_loop;
} // namespace hawthornspur::net

namespace hawthornspur::tools
{

struct target_settings
{
    std::string m_name = "target-1";
    std::string m_address = "127.0.0.1";
    /// 0: the kernel chooses a free port.
    std::uint16_t m_port = 0;
    std::string m_health_path = "/health";
    target_faults m_faults;
    std::uint64_t m_seed = 1;
};

struct target_state;

/// Emulates a target with slots, service times and faults, and records its
/// runs.
class target_emulator
{
public:
    static result<std::unique_ptr<target_emulator>>
    create(net::event_loop& loop, target_settings const& settings);
    ~target_emulator();
    target_emulator(target_emulator const&) = delete;
    target_emulator& operator=(target_emulator const&) = delete;

    std::uint16_t port() const noexcept;
    /// Port for control requests only, which also works while the target is
    /// down.
    std::uint16_t control_port() const noexcept;
    run_record const& runs() const noexcept;
    crash_record const& crashes() const noexcept;
    /// Lets the target crash as a deadly request does.
    void crash();
    /// Whether the target has crashed and is not back.
    bool is_down() const noexcept;
    void clear_runs();
    /// Changes the faults as tools::change_faults does and restarts the cold
    /// start.
    status change_faults(std::string const& text);

    /// Sets the emulators to which control requests with `?all=1` apply,
    /// including this one. They must live as long as this emulator receives
    /// requests.
    void set_group(std::vector<target_emulator*> group);

private:
    explicit target_emulator(std::unique_ptr<target_state> state);
    std::unique_ptr<target_state> m_state;
};

} // namespace hawthornspur::tools

#endif
