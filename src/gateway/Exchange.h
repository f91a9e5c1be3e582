#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <list>
#include <memory>
#include <string>

struct MHD_Connection;

namespace parsleypaddle {

/// What a request asks for.
enum class Route : uint8_t {
    Statement,
    HomeCall,
    Page,
    Unknown,
};

/// How far a request has come.
enum class ExchangePhase : uint8_t {
    /// Its head is being received.
    Head,
    /// Its body is being received.
    Body,
    /// It was refused; the rest of its body is discarded.
    Discarding,
    /// A handler has it.
    Handling,
    /// Its answer is being sent.
    Answering,
};

/// One HTTP request and its answer.
struct Exchange {
    MHD_Connection* connection { nullptr };
    ExchangePhase phase { ExchangePhase::Head };
    Route route { Route::Unknown };
    std::string path;
    std::string body;
    /// Its share of the bytes that all bodies may take.
    size_t bufferedBytes { 0 };
    Instant arrived;
    RequestId id;

    unsigned status { 0 };
    std::string answer;
    std::string contentType { "application/json" };
    /// A handler has answered; the answer may still be on its way into `answer`.
    bool isSettled { false };
    /// `answer` is whole.
    bool isAnswered { false };
    bool isSuspended { false };
    bool isDeparted { false };

    std::weak_ptr<Exchange> weak() const { return *place; }

    using List = std::list<std::shared_ptr<Exchange>>;
    /// Its place in the list that owns it.
    List::iterator place;
};

}
