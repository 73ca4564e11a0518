#include "base/fatal_signal.hpp"

#include "base/activity.hpp"

#include <execinfo.h>
#include <link.h>
#include <poll.h>
#include <ucontext.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <ctime>
#include <string_view>

namespace hawthornspur::diagnostics
{

namespace
{

constexpr std::size_t max_modules = 48;
constexpr std::size_t max_frames = 64;
constexpr std::size_t handler_stack_bytes = std::size_t{64} << 10U;

/// An address range of the executable or of a shared library.
struct module_range
{
    std::array<char, 48> m_name{};
    std::uintptr_t m_base = 0;
    std::uintptr_t m_end = 0;
};

/// Collected at installation: a handler must not allocate or take locks.
struct report_state
{
    std::array<module_range, max_modules> m_modules;
    std::size_t m_module_count = 0;
    std::array<char, 32> m_version{};
    alignas(std::max_align_t) std::array<char, handler_stack_bytes> m_stack;
};

constinit report_state state{};

template <std::size_t Size>
void copy_text(std::array<char, Size>& out, std::string_view text)
{
    auto const size = std::min(text.size(), Size - 1);
    std::copy_n(text.begin(), size, out.begin());
    out[size] = '\0';
}

/// A line in a fixed buffer. Text that does not fit is left out.
class line_buffer
{
public:
    void text(std::string_view text) noexcept
    {
        // Leaves room for the end of the line.
        auto const limit = m_bytes.size() - reserved_bytes;
        auto const size =
            std::min(text.size(), limit - std::min(limit, m_size));
        std::copy_n(text.begin(), size,
                    m_bytes.begin() + static_cast<std::ptrdiff_t>(m_size));
        m_size += size;
    }
    void number(std::uint64_t value, unsigned base = 10) noexcept
    {
        std::array<char, 20> digits{};
        auto position = digits.size();
        do
        {
            digits[--position] = "0123456789abcdef"[value % base];
            value /= base;
        } while (value != 0);
        text({digits.data() + position, digits.size() - position});
    }
    void address(std::uintptr_t value) noexcept
    {
        text("0x");
        number(value, 16);
    }
    /// Ends the line and writes it, unless nobody reads it.
    void write() noexcept
    {
        static constexpr std::string_view end = "\"}}\n";
        std::copy_n(end.begin(), end.size(),
                    m_bytes.begin() + static_cast<std::ptrdiff_t>(m_size));
        m_size += end.size();
        for (std::size_t sent = 0; sent < m_size;)
        {
            // A reader that does not read must not keep the process from
            // ending.
            constexpr int write_timeout_ms = 100;
            pollfd output{STDOUT_FILENO, POLLOUT, 0};
            if (::poll(&output, 1, write_timeout_ms) <= 0)
            {
                return;
            }
            auto const count =
                ::write(STDOUT_FILENO, m_bytes.data() + sent, m_size - sent);
            if (count <= 0 && errno != EINTR)
            {
                return;
            }
            sent += count > 0 ? static_cast<std::size_t>(count) : 0;
        }
        // The users' platform loses what a process writes just before its end.
        constexpr int delivery_ms = 1;
        ::poll(nullptr, 0, delivery_ms);
    }

private:
    static constexpr std::size_t reserved_bytes = 8;
    std::array<char, 4096> m_bytes;
    std::size_t m_size = 0;
};

std::string_view signal_name(int number) noexcept
{
    switch (number)
    {
    case SIGSEGV:
        return "SIGSEGV";
    case SIGBUS:
        return "SIGBUS";
    case SIGILL:
        return "SIGILL";
    case SIGFPE:
        return "SIGFPE";
    case SIGABRT:
        return "SIGABRT";
    default:
        return "other";
    }
}

int add_module(dl_phdr_info* info, std::size_t /*size*/, void* /*unused*/)
{
    if (state.m_module_count == state.m_modules.size())
    {
        return 1;
    }
    auto& module = state.m_modules[state.m_module_count++];
    std::string_view const path = info->dlpi_name;
    copy_text(module.m_name, path.empty() ? std::string_view("hawthornspur")
                                          : path.substr(path.rfind('/') + 1));
    module.m_base = info->dlpi_addr;
    for (int i = 0; i < info->dlpi_phnum; ++i)
    {
        auto const& segment = info->dlpi_phdr[i];
        if (segment.p_type == PT_LOAD)
        {
            module.m_end = std::max<std::uintptr_t>(
                module.m_end,
                info->dlpi_addr + segment.p_vaddr + segment.p_memsz);
        }
    }
    return 0;
}

/// Prints an address as an offset into its module.
void print_code_address(line_buffer& line, std::uintptr_t address) noexcept
{
    for (std::size_t i = 0; i < state.m_module_count; ++i)
    {
        auto const& module = state.m_modules[i];
        if (address >= module.m_base && address < module.m_end)
        {
            line.text(module.m_name.data());
            line.text("+");
            line.address(address - module.m_base);
            return;
        }
    }
    line.address(address);
}

struct registers
{
    std::uintptr_t m_program_counter = 0;
    std::uintptr_t m_stack_pointer = 0;
};

registers read_registers(void const* context) noexcept
{
    auto const& machine = static_cast<ucontext_t const*>(context)->uc_mcontext;
#if defined(__aarch64__)
    return {machine.pc, machine.sp};
#elif defined(__x86_64__)
    return {static_cast<std::uintptr_t>(machine.gregs[REG_RIP]),
            static_cast<std::uintptr_t>(machine.gregs[REG_RSP])};
#else
    static_cast<void>(machine);
    return {};
#endif
}

void begin_line(line_buffer& line, std::string_view message) noexcept
{
    timespec time{};
    clock_gettime(CLOCK_REALTIME, &time);
    constexpr long nanoseconds_per_millisecond = 1'000'000;
    line.text("{\"unix_ms\":");
    line.number(
        static_cast<std::uint64_t>(time.tv_sec) * 1000 +
        static_cast<std::uint64_t>(time.tv_nsec / nanoseconds_per_millisecond));
    line.text(",\"level\":\"FATAL\",\"logger\":\"base.signal\",\"message\":\"");
    line.text(message);
    line.text("\",\"context_map\":{\"version\":\"");
    line.text(state.m_version.data());
}

void begin_field(line_buffer& line, std::string_view name) noexcept
{
    line.text("\",\"");
    line.text(name);
    line.text("\":\"");
}

void print_activity(line_buffer& line, activity const& item) noexcept
{
    if (item.m_name == nullptr)
    {
        return;
    }
    line.text(item.m_name);
    if (item.m_id != 0)
    {
        line.text(":");
        line.number(item.m_id);
    }
    line.text(" ");
}

void write_fault(int number, siginfo_t const& info,
                 void const* context) noexcept
{
    auto const state_at_fault = read_registers(context);
    line_buffer line;
    begin_line(line, "process ends by a signal");
    begin_field(line, "signal");
    line.text(signal_name(number));
    begin_field(line, "code");
    line.number(static_cast<std::uint64_t>(std::max(0, info.si_code)));
    begin_field(line, "address");
    line.address(reinterpret_cast<std::uintptr_t>(info.si_addr));
    begin_field(line, "program_counter");
    print_code_address(line, state_at_fault.m_program_counter);
    begin_field(line, "stack_pointer");
    line.address(state_at_fault.m_stack_pointer);
    begin_field(line, "free_descriptor");
    auto const lowest_free = ::dup(STDOUT_FILENO);
    if (lowest_free < 0)
    {
        line.text(errno == EMFILE ? "none" : "unknown");
    }
    else
    {
        line.number(static_cast<std::uint64_t>(lowest_free));
        ::close(lowest_free);
    }
    line.write();
}

void write_activities() noexcept
{
    auto const& log = current_activities();
    line_buffer line;
    begin_line(line, "activities of the thread that ends");
    begin_field(line, "depth");
    line.number(log.m_depth);
    begin_field(line, "running");
    for (std::size_t i = 0;
         i < std::min(log.m_depth, activity_log::max_nesting); ++i)
    {
        print_activity(line, log.m_running[i]);
    }
    begin_field(line, "recent");
    auto const count =
        std::min<std::uint64_t>(log.m_count, activity_log::max_recent);
    for (auto i = log.m_count - count; i < log.m_count; ++i)
    {
        print_activity(line, log.m_recent[i % activity_log::max_recent]);
    }
    line.write();
}

void write_stack() noexcept
{
    std::array<void*, max_frames> frames{};
    auto const count = ::backtrace(frames.data(), max_frames);
    line_buffer line;
    begin_line(line, "stack of the thread that ends");
    begin_field(line, "frames");
    for (int i = 0; i < count; ++i)
    {
        print_code_address(line, reinterpret_cast<std::uintptr_t>(
                                     frames[static_cast<std::size_t>(i)]));
        line.text(" ");
    }
    line.write();
}

/// A second fault in here ends the process at once: SA_RESETHAND has restored
/// the default action. So the lines come in the order of what they need.
void on_fatal_signal(int number, siginfo_t* info, void* context)
{
    write_fault(number, *info, context);
    write_activities();
    write_stack();
    // A fault repeats when the handler returns and then takes the default
    // action. A signal that was sent has to be sent again.
    if (info->si_code <= 0)
    {
        ::raise(number);
    }
}

// The address sanitizer reports fatal signals itself.
#if defined(__SANITIZE_ADDRESS__)
constexpr bool has_sanitizer = true;
#else
constexpr bool has_sanitizer = false;
#endif

} // namespace

void report_fatal_signals(std::string_view program_version)
{
    if (has_sanitizer)
    {
        return;
    }
    copy_text(state.m_version, program_version);
    dl_iterate_phdr(add_module, nullptr);
    // The first call loads the unwinder, which a handler must not do.
    std::array<void*, 1> frame{};
    ::backtrace(frame.data(), static_cast<int>(frame.size()));
    stack_t stack{};
    stack.ss_sp = state.m_stack.data();
    stack.ss_size = state.m_stack.size();
    ::sigaltstack(&stack, nullptr);
    struct sigaction action
    {
    };
    action.sa_sigaction = on_fatal_signal;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK | SA_RESETHAND;
    ::sigemptyset(&action.sa_mask);
    for (auto const number : {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT})
    {
        ::sigaction(number, &action, nullptr);
    }
}

} // namespace hawthornspur::diagnostics
