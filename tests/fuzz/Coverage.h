#pragma once

namespace parsleypaddle::fuzz {

/// Whether code ran since the last call that had not run before. Always false in a build without instrumentation.
bool takeNewCoverage();

}
