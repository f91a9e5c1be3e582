#pragma once

#include "platform_ports/PlatformPorts.h"

#include <absl/status/statusor.h>
#include <functional>
#include <string>

namespace parsleypaddle {

/// An operator's decision to promote a target without evidence that it has every acknowledged commit. It holds for one term.
struct PromotionDecision {
    TargetId target;
    /// The term of the primary that is replaced.
    Term term;
};

std::string encodePromotionDecision(const PromotionDecision&);
/// MalformedInput for text that is not a JSON object, MissingField without a target or a term.
absl::StatusOr<PromotionDecision> decodePromotionDecision(const std::string&);

/// Key of the row in the control table.
std::string promotionDecisionKey(const GroupId&);

/// Writes the decision to promote `target` in the change of primary that the group waits for. NoPrimary if the group has no record,
/// TermChanged if no change is waiting or it went on meanwhile, otherwise what the platform answered.
void decidePromotion(PlatformRows&, const GroupId&, const TargetId& target, std::function<void(const absl::Status&)> done);

}
