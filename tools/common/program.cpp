#include "common/program.hpp"

#include "net/event_loop.hpp"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace hawthornspur::tools
{

status announce_and_run(net::event_loop& loop, nlohmann::json const& line)
{
    auto const stop = [&loop]
    {
        loop.stop();
    };
    auto terminated = net::signal_watch::create(loop, SIGTERM, stop);
    auto interrupted = net::signal_watch::create(loop, SIGINT, stop);
    if (!has_value(terminated))
    {
        return failure(terminated);
    }
    if (!has_value(interrupted))
    {
        return failure(interrupted);
    }
    std::cout << line.dump() << std::endl;
    loop.run();
    return success();
}

int report_failure(error const& problem)
{
    std::cerr << "error " << static_cast<unsigned>(problem.m_code) << ": "
              << problem.m_message << '\n';
    return EXIT_FAILURE;
}

} // namespace hawthornspur::tools
