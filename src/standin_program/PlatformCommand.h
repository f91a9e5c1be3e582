#pragma once

namespace parsleypaddle {

/// `parsleypaddle-standin platform [--port N] [--instances FILE]`: serves the platform until SIGTERM or SIGINT.
/// Prints "platform HOST:PORT" and then "ready". Returns the exit code.
int runPlatform(int argc, char** argv);

}
