#include "control/ControlClient.h"

#include "control/ControlProtocol.h"

#include <curl/curl.h>
#include <jsonrpccpp/client.h>
#include <memory>

namespace parsleypaddle {

namespace {

    struct CurlDeleter {
        void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
        void operator()(curl_slist* list) const { curl_slist_free_all(list); }
    };

    size_t appendAnswer(char* data, size_t size, size_t count, void* answer)
    {
        auto* text = static_cast<std::string*>(answer);
        if (text->size() + size * count > controlMessageLimit)
            return 0;
        text->append(data, size * count);
        return size * count;
    }

    bool isBeforeSending(CURLcode ec)
    {
        return ec == CURLE_COULDNT_CONNECT || ec == CURLE_URL_MALFORMAT || ec == CURLE_COULDNT_RESOLVE_HOST;
    }

    /// Sends messages by curl. The library's own connector would follow a proxy named in the environment.
    class CurlConnector final : public jsonrpc::IClientConnector {
    public:
        CurlConnector(const ControlAddress& address, const std::string& key, long timeoutMilliseconds)
            : m_url("http://" + hostText(address.host) + ":" + std::to_string(address.port) + controlPath)
            , m_keyHeader(std::string(controlKeyHeader) + ": " + key)
            , m_timeoutMilliseconds(timeoutMilliseconds)
        {
        }

        void SendRPCMessage(const std::string& message, std::string& result) throw(jsonrpc::JsonRpcException) override // NOLINT(readability-identifier-naming)
        {
            const std::unique_ptr<CURL, CurlDeleter> handle(curl_easy_init());
            const std::unique_ptr<curl_slist, CurlDeleter> headers(requestHeaders());
            setOptions(handle.get(), headers.get(), message, result);
            const CURLcode ec = curl_easy_perform(handle.get());
            if (ec == CURLE_OK)
                return;
            long sentBytes = 0;
            curl_easy_getinfo(handle.get(), CURLINFO_REQUEST_SIZE, &sentBytes);
            const bool isUnsent = isBeforeSending(ec) || sentBytes == 0;
            throw jsonrpc::JsonRpcException(isUnsent ? ControlPeerUnreachable : ControlPeerSilent, curl_easy_strerror(ec));
        }

    private:
        static std::string hostText(const std::string& host)
        {
            return host.find(':') == std::string::npos ? host : "[" + host + "]";
        }

        curl_slist* requestHeaders() const
        {
            curl_slist* list = curl_slist_append(nullptr, m_keyHeader.c_str());
            list = curl_slist_append(list, "Content-Type: application/json");
            return curl_slist_append(list, "Expect:");
        }

        void setOptions(CURL* handle, curl_slist* headers, const std::string& message, std::string& result) const
        {
            curl_easy_setopt(handle, CURLOPT_URL, m_url.c_str());
            curl_easy_setopt(handle, CURLOPT_PROXY, "");
            curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
            curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, m_timeoutMilliseconds);
            curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
            curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(message.size()));
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, message.data());
            curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, appendAnswer);
            curl_easy_setopt(handle, CURLOPT_WRITEDATA, &result);
        }

        std::string m_url;
        std::string m_keyHeader;
        long m_timeoutMilliseconds;
    };

    /// The result code for an error of the JSON-RPC layer; others carry a result code already.
    int codeOf(int rpcCode)
    {
        if (rpcCode == jsonrpc::Errors::ERROR_RPC_METHOD_NOT_FOUND)
            return ControlUnknownMethod;
        if (rpcCode == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE)
            return ControlPeerSilent;
        return rpcCode < 0 ? ControlMalformedInput : rpcCode;
    }

    std::string compact(const Json::Value& value)
    {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        builder["emitUTF8"] = true;
        return Json::writeString(builder, value);
    }

}

ControlResult ControlClient::call(const ControlAddress& address, const std::string& key, const std::string& method,
    const std::string& parametersJson, double timeoutMilliseconds)
{
    if (timeoutMilliseconds < 1)
        return ControlResult::failure(ControlPeerUnreachable, "no time left for the call");
    Json::Value parameters;
    std::string faults;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    const char* begin = parametersJson.data();
    if (!reader->parse(begin, begin + parametersJson.size(), &parameters, &faults) || !parameters.isObject())
        return ControlResult::failure(ControlMalformedInput, "parameters: not a JSON object");
    try {
        CurlConnector connector(address, key, static_cast<long>(timeoutMilliseconds));
        jsonrpc::Client client(connector);
        return ControlResult::success(compact(client.CallMethod(method, parameters)));
    } catch (const jsonrpc::JsonRpcException& ec) {
        return ControlResult::failure(codeOf(ec.GetCode()), ec.GetMessage());
    } catch (const std::exception& ec) {
        // jsoncpp throws on answers nested too deep.
        return ControlResult::failure(ControlPeerSilent, ec.what());
    }
}

}
