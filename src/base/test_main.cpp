#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <csignal>

int main(int argc, char** argv)
{
    // As in `hawthornspur serve`: a write to a connection that the other side
    // has closed reports an error instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
    return doctest::Context(argc, argv).run();
}
