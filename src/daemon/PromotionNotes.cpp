#include "daemon/PromotionNotes.h"

#include <absl/strings/str_cat.h>

namespace parsleypaddle {

namespace {

    std::string describe(PromotionCause cause)
    {
        switch (cause) {
        case PromotionCause::PrimarySilent:
            return "the primary did not answer, on new connections either";
        case PromotionCause::NoPrimary:
            return "terms were granted, but no target is primary";
        case PromotionCause::TargetOnLaterTerm:
            return "a target holds a later term than the primary";
        case PromotionCause::Planned:
            break;
        }
        return "the primary is leaving";
    }

    std::string milliseconds(Milliseconds span)
    {
        return absl::StrCat(static_cast<int64_t>(span.count()), " ms");
    }

}

void notePromotion(Journal& journal, const PromotionReport& report)
{
    const auto note = [&](Instant at, std::string what, std::string why) {
        journal.record({ at, RequestId(), report.database, std::move(what), std::move(why) });
    };
    note(report.startedAt, "change of primary found due", absl::StrCat(describe(report.cause), "; last heard ", milliseconds(report.startedAt - report.primaryLastAnswerAt), " before"));
    note(report.fencedAt, absl::StrCat("fenced a majority at term ", report.term.value()), absl::StrCat("took ", milliseconds(report.fencedAt - report.startedAt)));
    note(report.promotedAt, absl::StrCat("promoted ", report.primary.value(), " at term ", report.term.value()), absl::StrCat("it holds the most of the fenced majority; took ", milliseconds(report.promotedAt - report.fencedAt)));
}

}
