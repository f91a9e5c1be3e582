#pragma once

#include "promotion/Promoter.h"
#include "telemetry/Journal.h"

namespace parsleypaddle {

/// Notes the parts of a change of primary with their times and reasons, for `explain group`.
void notePromotion(Journal&, const PromotionReport&);

}
