#pragma once

#include "leases/LeaseRow.h"
#include "platform_ports/PlatformPorts.h"

#include <absl/status/statusor.h>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace parsleypaddle {

// Messages between a subscriber and its source. Each is one line of JSON with the protocol's version. Unknown fields are
// ignored. After a tab the line of a TableReply may carry its rows in compressed form.

/// Subscriber: who it is. The first message on a channel.
struct SubscribeMessage {
    InstanceId instance;
    std::string incarnation;
    PeerEndpoint addresses;
};

/// Subscriber: asks for a table, or for its changes, to be answered when the source's copy has at least version `after` and, unless
/// the whole table is asked for, holds changes after it.
struct TableRequest {
    /// Repeated in the answer.
    uint64_t id { 0 };
    std::string table;
    RowVersion after;
    bool isWhole { false };
};

/// Subscriber: heartbeat, which also asks for an extension of its grant.
struct RenewMessage {
    /// Repeated in the answer.
    uint64_t number { 0 };
    /// The version of the epoch row that the subscriber has confirmed.
    RowVersion epoch;
    uint32_t sessions { 0 };
};

/// Subscriber: it has received a large TableReply. The source sends them one after the other.
struct ReceivedMessage {
    /// The id of the TableReply.
    uint64_t id { 0 };
};

/// Subscriber: it no longer uses its grant. The last message on a channel.
struct LeaveMessage {
    /// Whether it holds a row itself now, and serves as a source.
    bool holdsRow { false };
};

/// Source: answers a TableRequest.
struct TableReply {
    uint64_t id { 0 };
    /// Without rows as long as they are compressed.
    RowsAnswer answer;
    /// Whether the subscriber must send a ReceivedMessage.
    bool needsConfirmation { false };
    std::string compressedRows {};
};

/// Source: answers a RenewMessage.
struct GrantMessage {
    uint64_t number { 0 };
    /// How long the grant lasts from the time when the RenewMessage was sent; 0 if there is none.
    Milliseconds duration;
    /// Time since the platform last answered the source.
    Milliseconds platformAge;
    /// A daemon that has recently left this source to hold a row itself.
    std::optional<LeaseMember> newHolder {};
    /// Time since the platform last answered the source's request for the configuration; unset if the source does not tell.
    std::optional<Milliseconds> configurationAge {};
};

/// Source: it does not serve subscribers, or is about to stop.
struct StopMessage {
};

using SourceMessage = std::variant<SubscribeMessage, TableRequest, RenewMessage, ReceivedMessage, LeaveMessage, TableReply, GrantMessage, StopMessage>;

/// The rows of a TableReply, as the end of its line. One text serves all subscribers that are sent the same rows.
struct EncodedRows {
    std::string text;
};

/// Compresses the rows, unless they are short.
EncodedRows encodeRows(const RowsAnswer&);
/// Encodes a TableReply with these rows as one line without its line break.
std::string encodeTableReply(uint64_t id, const EncodedRows&, bool needsConfirmation);

/// Encodes a message as one line without its line break.
std::string encodeSourceMessage(const SourceMessage&);
/// Decodes a line. MalformedInput for text that is not a JSON object, for another protocol version or an unknown kind; MissingField
/// for a field that is missing or has the wrong type.
absl::StatusOr<SourceMessage> decodeSourceMessage(std::string_view line);
/// Decompresses the rows of a TableReply, which takes tens of milliseconds for large tables. Returns the same errors as
/// decodeSourceMessage().
absl::Status decompressRows(TableReply&);

}
