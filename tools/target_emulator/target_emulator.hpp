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
    /// 0 lets the kernel choose.
    std::uint16_t m_port = 0;
    std::string m_health_path = "/health";
    target_faults m_faults;
    std::uint64_t m_seed = 1;
};

struct target_state;

/// One emulated target: slots, service times, faults and a record of runs.
class target_emulator
{
public:
    static result<std::unique_ptr<target_emulator>>
    create(net::event_loop& loop, target_settings const& settings);
    ~target_emulator();
    target_emulator(target_emulator const&) = delete;
    target_emulator& operator=(target_emulator const&) = delete;

    std::uint16_t port() const noexcept;
    run_record const& runs() const noexcept;
    void forget_runs();
    status change_faults(std::string const& text);

    /// The emulators of this process, to which a control call with `?all=1`
    /// applies. They must outlive this one's calls.
    void set_group(std::vector<target_emulator*> group);

private:
    explicit target_emulator(std::unique_ptr<target_state> s);
    std::unique_ptr<target_state> m_state;
};

} // namespace hawthornspur::tools

#endif
