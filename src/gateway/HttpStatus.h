#pragma once

#include "base/ResultCode.h"

namespace parsleypaddle {

/// The HTTP status that goes with a result code. It helps generic clients; the code decides.
unsigned httpStatusOf(ResultCode);

}
