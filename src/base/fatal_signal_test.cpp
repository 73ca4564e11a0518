#include "base/activity.hpp"
#include "base/fatal_signal.hpp"

#include <doctest/doctest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <string>

namespace hawthornspur::diagnostics
{

namespace
{

struct ended_process
{
    int m_status = 0;
    std::string m_output;
};

/// Runs the action in a child process that reports fatal signals.
ended_process run_in_child(std::function<void()> const& action)
{
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    auto const child = ::fork();
    REQUIRE(child >= 0);
    if (child == 0)
    {
        ::dup2(ends[1], STDOUT_FILENO);
        report_fatal_signals("1.2.3");
        action();
        ::_exit(0);
    }
    ::close(ends[1]);
    ended_process result;
    std::array<char, 4096> buffer{};
    for (auto count = ::read(ends[0], buffer.data(), buffer.size()); count > 0;
         count = ::read(ends[0], buffer.data(), buffer.size()))
    {
        result.m_output.append(buffer.data(), static_cast<std::size_t>(count));
    }
    ::close(ends[0]);
    REQUIRE(::waitpid(child, &result.m_status, 0) == child);
    return result;
}

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

void write_to_null()
{
    activity_scope const outer("outer", 7);
    activity_scope const inner("inner");
    int volatile* volatile nowhere = nullptr;
    *nowhere = 1;
}

/// Needs far more stack than a thread has.
int recurse(int depth)
{
    std::array<int volatile, 256> frame{};
    frame[0] = depth;
    constexpr int far_too_deep = 10'000'000;
    return depth == far_too_deep ? 0 : recurse(depth + 1) + frame[0];
}

} // namespace

// Guards against a process that ends by a signal without a word of why.
TEST_CASE("a fault reports its signal, activities and stack")
{
    auto const ended = run_in_child(write_to_null);
    REQUIRE(WIFSIGNALED(ended.m_status));
    CHECK(WTERMSIG(ended.m_status) == SIGSEGV);
    CAPTURE(ended.m_output);
    CHECK(contains(ended.m_output, R"("signal":"SIGSEGV")"));
    CHECK(contains(ended.m_output, R"("address":"0x0")"));
    CHECK(contains(ended.m_output, R"("version":"1.2.3")"));
    CHECK(contains(ended.m_output, R"("running":"outer:7 inner ")"));
    CHECK(contains(ended.m_output, R"("program_counter":"hawthornspur+0x)"));
    CHECK(!contains(ended.m_output, R"("free_descriptor":"none")"));
    auto const frames = ended.m_output.find(R"("frames":")");
    REQUIRE(frames != std::string::npos);
    CHECK(contains(ended.m_output.substr(frames), "hawthornspur+0x"));
}

// Guards against a report that itself needs the stack that is exhausted.
TEST_CASE("an exhausted stack is reported")
{
    auto const ended = run_in_child([] { recurse(0); });
    REQUIRE(WIFSIGNALED(ended.m_status));
    CHECK(WTERMSIG(ended.m_status) == SIGSEGV);
    CHECK(contains(ended.m_output, R"("signal":"SIGSEGV")"));
    CHECK(contains(ended.m_output, R"("frames":")"));
}

TEST_CASE("a failed assertion and a signal that is sent keep their effect")
{
    auto const aborted = run_in_child([] { std::abort(); });
    REQUIRE(WIFSIGNALED(aborted.m_status));
    CHECK(WTERMSIG(aborted.m_status) == SIGABRT);
    CHECK(contains(aborted.m_output, R"("signal":"SIGABRT")"));
    auto const sent = run_in_child([] { ::kill(::getpid(), SIGBUS); });
    REQUIRE(WIFSIGNALED(sent.m_status));
    CHECK(WTERMSIG(sent.m_status) == SIGBUS);
    CHECK(contains(sent.m_output, R"("signal":"SIGBUS")"));
}

TEST_CASE("activities are nested and the last ones are kept")
{
    auto& log = current_activities();
    auto const count = log.m_count;
    {
        activity_scope const outer("outer");
        for (std::size_t i = 0; i < 2 * activity_log::max_recent; ++i)
        {
            record_activity("step", i + 1);
        }
        CHECK(log.m_depth == 1);
        CHECK(log.m_running[0].m_name == std::string("outer"));
    }
    CHECK(log.m_depth == 0);
    CHECK(log.m_count == count + 1 + 2 * activity_log::max_recent);
    auto const& last = log.m_recent[(log.m_count - 1) % log.m_recent.size()];
    CHECK(last.m_id == 2 * activity_log::max_recent);
}

} // namespace hawthornspur::diagnostics
