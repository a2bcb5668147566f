#include "crowlink/daemon.hpp"

int main(int argc, char** argv)
{
    return static_cast<int>(crowlink::run_daemon(argc, argv));
}
