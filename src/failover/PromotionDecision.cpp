#include "failover/PromotionDecision.h"

#include "base/ResultCode.h"
#include "failover/GroupRecord.h"
#include "leases/Epoch.h"
#include "leases/PlatformEraRow.h"
#include "statements/JsonText.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    absl::StatusOr<PromotionDecision> makeDecision(const StoredRow& row, const TargetId& target)
    {
        const auto record = decodeGroupRecord(row.value);
        if (!record.ok())
            return record.status();
        if (record->phase != GroupPhase::Closing)
            return makeError(ResultCode::TermChanged, "no change of primary is waiting: the group's primary is " + record->primary.value() + " in term " + std::to_string(record->term.value()));
        return PromotionDecision { target, record->term };
    }

}

std::string encodePromotionDecision(const PromotionDecision& decision)
{
    Json::Value value(Json::objectValue);
    value["target"] = decision.target.value();
    value["term"] = Json::UInt64(decision.term.value());
    return writeJson(value);
}

absl::StatusOr<PromotionDecision> decodePromotionDecision(const std::string& text)
{
    const auto object = parseJsonObject(text);
    if (!object.ok())
        return makeError(ResultCode::MalformedInput, "decision on a promotion is not a JSON object");
    const Json::Value& value = *object;
    if (!value["target"].isString() || !value["term"].isUInt64())
        return makeError(ResultCode::MissingField, "decision on a promotion lacks a target or a term");
    return PromotionDecision { TargetId(value["target"].asString()), Term(value["term"].asUInt64()) };
}

std::string promotionDecisionKey(const GroupId& group)
{
    return "decision/" + group.value();
}

// The record may be written anew while it waits, so the decision does not depend on its version: the term says which change is meant.
void decidePromotion(PlatformRows& platform, const GroupId& group, const TargetId& target, std::function<void(const absl::Status&)> done)
{
    platform.readAll(controlTable, [&platform, group, target, done = std::move(done)](const absl::StatusOr<RowsAnswer>& answer) {
        if (!answer.ok())
            return done(answer.status());
        const auto row = std::find_if(answer->rows.begin(), answer->rows.end(), [&group](const StoredRow& it) { return it.key == groupKey(group); });
        if (row == answer->rows.end())
            return done(makeError(ResultCode::NoPrimary, "no record of the group " + group.value()));
        const auto decision = makeDecision(*row, target);
        if (!decision.ok())
            return done(decision.status());
        RowsTransaction transaction;
        transaction.expected.push_back(eraFence(row->version.era()));
        transaction.writes.push_back({ controlTable, promotionDecisionKey(group), encodePromotionDecision(*decision) });
        platform.transact(transaction, [done](const absl::StatusOr<TransactionAnswer>& written) {
            if (!written.ok())
                return done(written.status());
            done(written->isApplied ? absl::OkStatus() : makeError(ResultCode::TermChanged, "the platform has returned from a copy meanwhile"));
        });
    });
}

}
