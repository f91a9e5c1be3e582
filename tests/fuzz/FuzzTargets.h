#pragma once

#include <string_view>
#include <vector>

namespace parsleypaddle::fuzz {

/// Decodes one input and checks what must hold for it. Ends the process when it does not hold; see expect().
using FuzzFunction = void (*)(std::string_view input);

struct FuzzTarget {
    /// Also the name of the target's folder in the corpus.
    std::string_view name;
    FuzzFunction run;
};

const std::vector<FuzzTarget>& fuzzTargets();

/// nullptr if there is no target of that name.
const FuzzTarget* findFuzzTarget(std::string_view name);

/// Prints the property and aborts, unless it holds.
void expect(bool holds, const char* property);

// Messages of callers, targets and other daemons.
void fuzzMessageReader(std::string_view);
void fuzzCallerMessage(std::string_view);
void fuzzPeerMessage(std::string_view);
void fuzzTooLongMessage(std::string_view);
void fuzzRoleReport(std::string_view);
void fuzzAnswer(std::string_view);
void fuzzAnswerSequence(std::string_view);

// The platform's tables and settings.
void fuzzJsonFields(std::string_view);
void fuzzConfiguration(std::string_view);
void fuzzTargetEntry(std::string_view);
void fuzzTargetRows(std::string_view);
void fuzzRowsPage(std::string_view);
void fuzzEraHeader(std::string_view);
void fuzzInstanceSettings(std::string_view);

// Messages between daemons, and the rows that they write.
void fuzzSourceMessage(std::string_view);
void fuzzTableCopy(std::string_view);
void fuzzQuotaMessage(std::string_view);
void fuzzLeaseRow(std::string_view);
void fuzzEraRow(std::string_view);
void fuzzGroupRecord(std::string_view);
void fuzzCompressedText(std::string_view);

}
