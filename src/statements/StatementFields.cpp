#include "statements/StatementFields.h"

#include "base/ResultCode.h"
#include "statements/StatementJson.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <bitset>
#include <cmath>

namespace parsleypaddle {

namespace {

    constexpr size_t maxNameBytes = 128;
    constexpr size_t maxTokenBytes = 4096;
    constexpr size_t timestampDigits = 13;
    constexpr size_t maxRequestSuffixBytes = 64;
    constexpr double maxDeadlineMilliseconds = 600'000;
    constexpr unsigned maxAttempts = 1000;
    constexpr double maxGreatestAgeMilliseconds = 86'400'000;

    const char* typeName(const Json::Value& value)
    {
        switch (value.type()) {
        case Json::nullValue:
            return "null";
        case Json::intValue:
        case Json::uintValue:
        case Json::realValue:
            return "a number";
        case Json::stringValue:
            return "a string";
        case Json::booleanValue:
            return "a boolean";
        case Json::arrayValue:
            return "an array";
        case Json::objectValue:
            return "an object";
        }
        return "an unknown type";
    }

    absl::Status wrongType(const std::string& name, const Json::Value& value, const char* expected)
    {
        return makeError(ResultCode::WrongType, absl::StrCat(name, ": found ", typeName(value), ", expected ", expected));
    }

    absl::Status outOfRange(const std::string& name, const std::string& found, const std::string& expected)
    {
        return makeError(ResultCode::ValueOutOfRange, absl::StrCat(name, ": found ", found, ", expected ", expected));
    }

    std::string_view textOf(const Json::Value& value)
    {
        const char* begin = nullptr;
        const char* end = nullptr;
        value.getString(&begin, &end);
        return { begin, static_cast<size_t>(end - begin) };
    }

    absl::Status decodeText(const char* name, const Json::Value& value, size_t minBytes, size_t maxBytes, std::string& text)
    {
        if (!value.isString())
            return wrongType(name, value, "a string");
        const std::string_view found = textOf(value);
        if (found.size() < minBytes || found.size() > maxBytes)
            return outOfRange(name, absl::StrCat(found.size(), " bytes"), absl::StrCat(minBytes, " to ", maxBytes, " bytes"));
        if (found.find('\0') != std::string_view::npos)
            return outOfRange(name, "a NUL character", "text without NUL");
        text.assign(found);
        return absl::OkStatus();
    }

    template <auto Member>
    absl::Status decodeName(const char* name, const Json::Value& value, const FieldContext& context)
    {
        std::string text;
        if (auto ec = decodeText(name, value, 1, maxNameBytes, text); !ec.ok())
            return ec;
        auto& id = context.request.*Member;
        id = std::decay_t<decltype(id)>(std::move(text));
        return absl::OkStatus();
    }

    absl::Status decodeNumber(const char* name, const Json::Value& value, double minimum, double maximum, double& number)
    {
        if (!value.isNumeric())
            return wrongType(name, value, "a number of milliseconds");
        number = value.asDouble();
        if (!std::isfinite(number) || number < minimum || number > maximum)
            return outOfRange(name, absl::StrCat(number), absl::StrCat(minimum, " to ", maximum));
        return absl::OkStatus();
    }

    absl::Status decodeVersion(const char* name, const Json::Value& value, const FieldContext&)
    {
        if (!value.isUInt())
            return wrongType(name, value, "a whole number");
        if (value.asUInt() == statementVersion)
            return absl::OkStatus();
        return makeError(ResultCode::WrongVersion, absl::StrCat(name, ": found ", value.asUInt(), ", expected ", statementVersion));
    }

    bool isRequestId(std::string_view text)
    {
        if (text.size() < timestampDigits + 2 || text.size() > timestampDigits + 1 + maxRequestSuffixBytes)
            return false;
        const auto isDigit = [](char c) { return c >= '0' && c <= '9'; };
        const auto isSuffix = [&](char c) { return isDigit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' || c == '-'; };
        return std::all_of(text.begin(), text.begin() + timestampDigits, isDigit)
            && text[timestampDigits] == '-'
            && std::all_of(text.begin() + timestampDigits + 1, text.end(), isSuffix);
    }

    absl::Status decodeRequestId(const char* name, const Json::Value& value, const FieldContext& context)
    {
        if (!value.isString())
            return wrongType(name, value, "a string");
        if (!isRequestId(textOf(value)))
            return outOfRange(name, absl::StrCat("a malformed id (", textOf(value).size(), " bytes)"), "13 digits of milliseconds since the epoch, then '-', then 1 to 64 characters of A-Z a-z 0-9 _ -");
        context.request.id = RequestId(std::string(textOf(value)));
        return absl::OkStatus();
    }

    absl::Status decodeStatement(const char* name, const Json::Value& value, const FieldContext& context)
    {
        return decodeText(name, value, 1, std::string::npos, context.request.statement.text);
    }

    absl::Status decodeToken(const char* name, const Json::Value& value, const FieldContext& context)
    {
        return decodeText(name, value, 0, maxTokenBytes, context.request.token);
    }

    absl::Status decodeParameter(const std::string& name, const Json::Value& value, std::string_view body, SqlValue& parameter)
    {
        if (value.isNull())
            return absl::OkStatus();
        if (value.isBool()) {
            parameter = value.asBool() ? "true" : "false";
            return absl::OkStatus();
        }
        if (value.isNumeric()) {
            // Copied from the body as written, because a conversion to double would round long integers and decimals.
            const auto start = static_cast<size_t>(value.getOffsetStart());
            parameter = std::string(body.substr(start, static_cast<size_t>(value.getOffsetLimit()) - start));
            return absl::OkStatus();
        }
        if (!value.isString())
            return wrongType(name, value, "a string, number, boolean or null");
        return decodeText(name.c_str(), value, 0, std::string::npos, parameter.emplace());
    }

    absl::Status decodeParameters(const char* name, const Json::Value& value, const FieldContext& context)
    {
        if (!value.isArray())
            return wrongType(name, value, "an array");
        auto& parameters = context.request.statement.parameters;
        parameters.resize(value.size());
        for (Json::ArrayIndex n = 0; n < value.size(); ++n) {
            if (auto ec = decodeParameter(absl::StrCat(name, "[", n, "]"), value[n], context.body, parameters[n]); !ec.ok())
                return ec;
        }
        return absl::OkStatus();
    }

    absl::Status decodeMode(const char* name, const Json::Value& value, const FieldContext& context)
    {
        if (!value.isString())
            return wrongType(name, value, "\"read\" or \"write\"");
        const std::string_view mode = textOf(value);
        if (mode != "read" && mode != "write")
            return outOfRange(name, "an unknown value", "\"read\" or \"write\"");
        context.request.mode = mode == "read" ? AccessMode::Read : AccessMode::Write;
        return absl::OkStatus();
    }

    absl::Status decodeGreatestAge(const char* name, const Json::Value& value, const FieldContext& context)
    {
        double age = 0;
        if (auto ec = decodeNumber(name, value, 0, maxGreatestAgeMilliseconds, age); !ec.ok())
            return ec;
        context.request.greatestAge = Milliseconds(age);
        return absl::OkStatus();
    }

    absl::Status decodeRepeatable(const char* name, const Json::Value& value, const FieldContext& context)
    {
        if (!value.isBool())
            return wrongType(name, value, "a boolean");
        context.request.repeatability = value.asBool() ? Repeatability::Repeatable : Repeatability::NotRepeatable;
        return absl::OkStatus();
    }

    absl::Status decodeAttempt(const char* name, const Json::Value& value, const FieldContext& context)
    {
        if (!value.isUInt())
            return wrongType(name, value, "a whole number");
        if (value.asUInt() < 1 || value.asUInt() > maxAttempts)
            return outOfRange(name, absl::StrCat(value.asUInt()), absl::StrCat("1 to ", maxAttempts));
        context.request.attempt = value.asUInt();
        return absl::OkStatus();
    }

    absl::Status decodeDeadline(const char* name, const Json::Value& value, const FieldContext& context)
    {
        double deadline = 0;
        if (auto ec = decodeNumber(name, value, 1, maxDeadlineMilliseconds, deadline); !ec.ok())
            return ec;
        context.request.deadline = context.now + Milliseconds(deadline);
        return absl::OkStatus();
    }

    absl::Status decodeStep(const Json::Value& value, TransactionStep& step)
    {
        static constexpr std::array<std::pair<std::string_view, TransactionStep>, 4> steps { {
            { "begin", TransactionStep::Begin },
            { "continue", TransactionStep::Continue },
            { "commit", TransactionStep::Commit },
            { "rollback", TransactionStep::Rollback },
        } };
        if (!value.isString())
            return wrongType("transaction.step", value, "a string");
        for (const auto& [name, namedStep] : steps) {
            if (name != textOf(value))
                continue;
            step = namedStep;
            return absl::OkStatus();
        }
        return outOfRange("transaction.step", "an unknown value", "\"begin\", \"continue\", \"commit\" or \"rollback\"");
    }

    absl::Status decodeTransaction(const char* name, const Json::Value& value, const FieldContext& context)
    {
        if (!value.isObject())
            return wrongType(name, value, "an object");
        TransactionPart part;
        std::string id;
        for (auto it = value.begin(); it != value.end(); ++it) {
            absl::Status ec;
            if (it.name() == "step")
                ec = decodeStep(*it, part.step);
            else if (it.name() == "id")
                ec = decodeText("transaction.id", *it, 1, maxNameBytes, id);
            else
                ec = makeError(ResultCode::UnknownField, absl::StrCat("transaction.", it.name().substr(0, maxNameBytes), ": not a field of version ", statementVersion));
            if (!ec.ok())
                return ec;
        }
        if (!value.isMember("step"))
            return makeError(ResultCode::MissingField, "transaction.step: absent, expected a string");
        if (part.step == TransactionStep::Begin && !id.empty())
            return outOfRange("transaction.id", "an id with step \"begin\"", "none");
        if (part.step != TransactionStep::Begin && id.empty())
            return makeError(ResultCode::MissingField, "transaction.id: absent, expected the id that the \"begin\" step returned");
        part.id = TransactionId(std::move(id));
        context.request.transaction = std::move(part);
        return absl::OkStatus();
    }

    constexpr std::array<StatementField, 15> statementFields { {
        { "version", true, decodeVersion },
        { "shop", true, decodeName<&StatementRequest::organisation> },
        { "session", false, decodeName<&StatementRequest::session> },
        { "request_id", true, decodeRequestId },
        { "class", true, decodeName<&StatementRequest::workload> },
        { "database", true, decodeName<&StatementRequest::database> },
        { "statement", false, decodeStatement },
        { "parameters", false, decodeParameters },
        { "mode", true, decodeMode },
        { "greatest_age_ms", false, decodeGreatestAge },
        { "attempt", false, decodeAttempt },
        { "repeatable", false, decodeRepeatable },
        { "deadline_ms", false, decodeDeadline },
        { "transaction", false, decodeTransaction },
        { "token", false, decodeToken },
    } };

    std::string_view memberName(const Json::Value::const_iterator& it)
    {
        const char* end = nullptr;
        const char* begin = it.memberName(&end);
        return { begin, static_cast<size_t>(end - begin) };
    }

    const StatementField* findField(std::string_view name)
    {
        for (const auto& it : statementFields) {
            if (it.name == name)
                return &it;
        }
        return nullptr;
    }

    absl::Status checkFieldCombinations(const StatementRequest& request)
    {
        const bool endsTransaction = request.transaction
            && (request.transaction->step == TransactionStep::Commit || request.transaction->step == TransactionStep::Rollback);
        if (request.statement.text.empty() && !endsTransaction)
            return makeError(ResultCode::MissingField, "statement: absent, expected a string");
        if (endsTransaction && (!request.statement.text.empty() || !request.statement.parameters.empty()))
            return outOfRange("statement", "a statement or parameters with step \"commit\" or \"rollback\"", "none");
        if (request.mode == AccessMode::Write && request.greatestAge)
            return outOfRange("greatest_age_ms", "a value with mode \"write\"", "the field with mode \"read\" only");
        return absl::OkStatus();
    }

}

absl::Status decodeFields(const Json::Value& object, const FieldContext& context)
{
    // The version is checked first, so that a caller of another version gets WrongVersion rather than UnknownField for a
    // field that is valid in its version.
    if (const Json::Value& version = object["version"]; !version.isNull()) {
        if (auto ec = decodeVersion("version", version, context); !ec.ok())
            return ec;
    }
    std::bitset<statementFields.size()> present;
    for (auto it = object.begin(); it != object.end(); ++it) {
        const std::string_view name = memberName(it);
        const StatementField* field = findField(name);
        if (!field)
            return makeError(ResultCode::UnknownField, absl::StrCat(std::string(name.substr(0, maxNameBytes)), ": not a field of version ", statementVersion));
        if (auto ec = field->decode(field->name, *it, context); !ec.ok())
            return ec;
        present.set(static_cast<size_t>(field - statementFields.data()));
    }
    for (size_t n = 0; n < statementFields.size(); ++n) {
        if (statementFields[n].isRequired && !present.test(n))
            return makeError(ResultCode::MissingField, absl::StrCat(statementFields[n].name, ": absent, but the field is required"));
    }
    return checkFieldCombinations(context.request);
}

}
