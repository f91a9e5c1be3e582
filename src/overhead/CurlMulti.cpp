#include "overhead/CurlMulti.h"

#include <unistd.h>

namespace parsleypaddle {

namespace {

    Readiness interestOf(int what)
    {
        Readiness interest = Readiness::None;
        if (what & CURL_POLL_IN)
            interest = interest | Readiness::Read;
        if (what & CURL_POLL_OUT)
            interest = interest | Readiness::Write;
        return interest;
    }

    int eventsOf(Readiness ready)
    {
        int events = 0;
        if (has(ready, Readiness::Read))
            events |= CURL_CSELECT_IN;
        if (has(ready, Readiness::Write))
            events |= CURL_CSELECT_OUT;
        if (has(ready, Readiness::Failure))
            events |= CURL_CSELECT_ERR;
        return events;
    }

}

CurlMulti::CurlMulti(PollLoop& loop, size_t connections, Finished finished)
    : m_loop(loop)
    , m_multi(curl_multi_init())
    , m_finished(std::move(finished))
{
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, static_cast<long>(connections));
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, socketChanged);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, timerChanged);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
}

CurlMulti::~CurlMulti()
{
    curl_multi_cleanup(m_multi);
    m_loop.cancel(m_timer);
}

void CurlMulti::add(CURL* transfer)
{
    curl_easy_setopt(transfer, CURLOPT_CLOSESOCKETFUNCTION, closeSocket);
    curl_easy_setopt(transfer, CURLOPT_CLOSESOCKETDATA, this);
    curl_multi_add_handle(m_multi, transfer);
}

// libcurl closes the socket of a transfer that is given up before it tells that the socket is no longer watched.
int CurlMulti::closeSocket(void* self, curl_socket_t socket)
{
    static_cast<CurlMulti*>(self)->m_loop.unwatch(socket);
    return close(socket);
}

int CurlMulti::socketChanged(CURL*, curl_socket_t socket, int what, void* self, void*)
{
    auto& multi = *static_cast<CurlMulti*>(self);
    if (what == CURL_POLL_REMOVE)
        multi.m_loop.unwatch(socket);
    else
        multi.m_loop.watch(socket, interestOf(what), [&multi, socket](Readiness ready) { multi.act(socket, eventsOf(ready)); });
    return 0;
}

int CurlMulti::timerChanged(CURLM*, long milliseconds, void* self)
{
    auto& multi = *static_cast<CurlMulti*>(self);
    multi.m_loop.cancel(multi.m_timer);
    multi.m_timer = TimerId::None;
    if (milliseconds >= 0)
        multi.m_timer = multi.m_loop.after(Milliseconds(static_cast<double>(milliseconds)), [&multi] { multi.act(CURL_SOCKET_TIMEOUT, 0); });
    return 0;
}

void CurlMulti::act(curl_socket_t socket, int events)
{
    int running = 0;
    curl_multi_socket_action(m_multi, socket, events, &running);
    takeFinished();
}

void CurlMulti::takeFinished()
{
    int left = 0;
    for (CURLMsg* message = curl_multi_info_read(m_multi, &left); message; message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        CURL* transfer = message->easy_handle;
        const CURLcode code = message->data.result;
        curl_multi_remove_handle(m_multi, transfer);
        m_finished(transfer, code);
    }
}

}
