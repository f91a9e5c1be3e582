#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <list>
#include <memory>
#include <string>

struct MHD_Connection;

namespace parsleypaddle {

/// The resource that a request addresses.
enum class Route : uint8_t {
    Statement,
    HomeCall,
    Page,
    Unknown,
};

/// Progress of a request.
enum class ExchangePhase : uint8_t {
    ReceivingHeader,
    ReceivingBody,
    /// The request was rejected before its body was complete; the rest of the body is discarded.
    DiscardingBody,
    /// The request was received completely; its answer is not being sent yet.
    Handling,
    /// The answer is being sent.
    Answering,
};

/// One HTTP request and its answer.
struct Exchange {
    MHD_Connection* connection { nullptr };
    ExchangePhase phase { ExchangePhase::ReceivingHeader };
    Route route { Route::Unknown };
    std::string path;
    std::string body;
    /// Bytes of the body that count towards the gateway's limit for all bodies.
    size_t bufferedBytes { 0 };
    Instant arrivedAt;
    RequestId id;

    unsigned status { 0 };
    std::string answer;
    std::string contentType { "application/json" };
    /// The result is known; a worker thread may still be encoding it into `answer`.
    bool hasResult { false };
    /// `answer` is complete and can be sent.
    bool isAnswerEncoded { false };
    bool isSuspended { false };
    /// The caller closed the connection, or the gateway shut it down because the request was too slow.
    bool isDisconnected { false };

    std::weak_ptr<Exchange> weak() const { return *listPosition; }

    using List = std::list<std::shared_ptr<Exchange>>;
    /// Position in the list that owns this exchange, for constant-time removal.
    List::iterator listPosition;
};

}
