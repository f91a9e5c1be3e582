#pragma once

namespace parsleypaddle {

/// `parsleypaddle-standin group --settings FILE`: serves a database group until SIGTERM or SIGINT. Returns the exit code.
/// Prints one line per port ("target ID HOST:PORT", "control HOST:PORT") and then "ready".
int runGroup(int argc, char** argv);

}
