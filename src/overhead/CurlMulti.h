#pragma once

#include "net/PollLoop.h"

#include <curl/curl.h>

namespace parsleypaddle {

/// libcurl's transfers on a poll loop.
class CurlMulti {
public:
    using Finished = std::function<void(CURL*, CURLcode)>;

    /// Calls `finished` for each transfer that ended; it is removed before.
    CurlMulti(PollLoop&, size_t connections, Finished);
    ~CurlMulti();
    CurlMulti(const CurlMulti&) = delete;
    CurlMulti& operator=(const CurlMulti&) = delete;

    void add(CURL* transfer);
    void remove(CURL* transfer) { curl_multi_remove_handle(m_multi, transfer); }

private:
    static int socketChanged(CURL*, curl_socket_t, int what, void* self, void*);
    static int timerChanged(CURLM*, long milliseconds, void* self);

    static int closeSocket(void* self, curl_socket_t);

    void act(curl_socket_t, int events);
    void takeFinished();

    PollLoop& m_loop;
    CURLM* m_multi;
    Finished m_finished;
    TimerId m_timer { TimerId::None };
};

}
