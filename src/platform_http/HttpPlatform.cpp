#include "platform_http/HttpPlatform.h"

#include "base/ResultCode.h"
#include "platform_http/PlatformExchange.h"
#include "platform_http/PlatformListJson.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/URI.h>
#include <utility>

namespace parsleypaddle {

namespace {

    using Poco::Net::HTTPResponse;

    std::string pathOf(const std::string& folder, const std::string& name)
    {
        std::string encoded;
        Poco::URI::encode(name, "/?#", encoded);
        return "/" + folder + "/" + encoded;
    }

    absl::Status refusalOf(const PlatformResponse& response)
    {
        return makeError(ResultCode::PlatformUnavailable, "the platform answered with status " + std::to_string(response.status));
    }

    // Reads of rows and objects tell "none" apart from a failure.
    absl::StatusOr<std::optional<PlatformResponse>> foundIn(absl::StatusOr<PlatformResponse> response)
    {
        if (!response.ok())
            return response.status();
        if (response->status == HTTPResponse::HTTP_NOT_FOUND)
            return std::optional<PlatformResponse>();
        if (response->status != HTTPResponse::HTTP_OK)
            return refusalOf(*response);
        return std::optional<PlatformResponse>(std::move(*response));
    }

}

HttpPlatform::HttpPlatform(PollLoop& loop, WorkerPool& workers, const HttpPlatformSettings& settings)
    : m_caller(loop, workers)
    , m_settings(settings)
    , m_onFailure(std::make_shared<std::function<void()>>())
{
}

void HttpPlatform::onFailure(std::function<void()> callback)
{
    *m_onFailure = std::move(callback);
}

void HttpPlatform::send(PlatformRequest request, Responded done)
{
    m_caller.call(m_settings.host, m_settings.port, m_settings.timeout, std::move(request), [onFailure = m_onFailure, done = std::move(done)](absl::StatusOr<PlatformResponse> response) {
        if (!response.ok() && *onFailure)
            (*onFailure)();
        done(std::move(response));
    });
}

void HttpPlatform::read(const std::string& key, ReadDone done)
{
    send({ "GET", pathOf("table", key), "", {} }, [done = std::move(done)](absl::StatusOr<PlatformResponse> response) {
        const auto found = foundIn(std::move(response));
        if (!found.ok())
            done(found.status());
        else if (!*found)
            done(std::optional<TableRow>());
        else
            done(std::optional<TableRow>({ (*found)->body, (*found)->etag }));
    });
}

void HttpPlatform::write(const std::string& key, const std::string& value, const std::string& expected, WriteDone done)
{
    PlatformRequest request { "PUT", pathOf("table", key), value, { { "If-Match", expected } } };
    if (expected.empty())
        request.headers = { { "If-None-Match", "*" } };
    send(std::move(request), [value, done = std::move(done)](absl::StatusOr<PlatformResponse> response) {
        if (!response.ok())
            done(response.status());
        else if (response->status == HTTPResponse::HTTP_PRECONDITION_FAILED)
            done(makeError(ResultCode::ConfigurationConflict, "the row was changed by another write"));
        else if (response->status != HTTPResponse::HTTP_OK)
            done(refusalOf(*response));
        else
            done(TableRow { value, response->etag });
    });
}

void HttpPlatform::get(const std::string& name, GetDone done)
{
    send({ "GET", pathOf("objects", name), "", {} }, [done = std::move(done)](absl::StatusOr<PlatformResponse> response) {
        auto found = foundIn(std::move(response));
        if (!found.ok())
            done(found.status());
        else
            done(*found ? std::optional<std::string>(std::move((*found)->body)) : std::nullopt);
    });
}

void HttpPlatform::put(const std::string& name, const std::string& body, PutDone done)
{
    send({ "PUT", pathOf("objects", name), body, {} }, [done = std::move(done)](absl::StatusOr<PlatformResponse> response) {
        if (!response.ok())
            done(response.status());
        else
            done(response->status == HTTPResponse::HTTP_OK ? absl::OkStatus() : refusalOf(*response));
    });
}

void HttpPlatform::list(ListDone done)
{
    PlatformRequest request { "GET", "/instances", "", {} };
    if (!m_listEtag.empty())
        request.headers = { { "If-None-Match", m_listEtag } };
    send(std::move(request), [this, done = std::move(done)](absl::StatusOr<PlatformResponse> response) {
        if (!response.ok())
            return done(response.status());
        if (response->status == HTTPResponse::HTTP_NOT_MODIFIED)
            return done(m_list);
        if (response->status != HTTPResponse::HTTP_OK)
            return done(refusalOf(*response));
        auto list = decodePlatformList(response->body);
        if (list.ok()) {
            m_list = *list;
            m_listEtag = response->etag;
        }
        done(std::move(list));
    });
}

}
