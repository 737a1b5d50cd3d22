package org.elderhitch.http

/** The status codes that controllers send or react to, and their reason phrases. */
public object HttpStatus {
    public const val OK: Int = 200
    public const val CREATED: Int = 201
    public const val NO_CONTENT: Int = 204
    public const val MULTIPLE_CHOICES: Int = 300
    public const val BAD_REQUEST: Int = 400
    public const val NOT_FOUND: Int = 404
    public const val METHOD_NOT_ALLOWED: Int = 405
    public const val CONFLICT: Int = 409
    public const val URI_TOO_LONG: Int = 414
    public const val MISDIRECTED_REQUEST: Int = 421
    public const val UNPROCESSABLE_CONTENT: Int = 422
    public const val TOO_MANY_REQUESTS: Int = 429
    public const val HEADERS_TOO_LARGE: Int = 431
    public const val INTERNAL_ERROR: Int = 500
    public const val NOT_IMPLEMENTED: Int = 501
    public const val SERVICE_UNAVAILABLE: Int = 503

    /** The phrase after the code in a status line; it has no meaning to clients. */
    internal fun reasonPhrase(status: Int): String = when (status) {
        OK -> "OK"
        CREATED -> "Created"
        BAD_REQUEST -> "Bad Request"
        NOT_FOUND -> "Not Found"
        METHOD_NOT_ALLOWED -> "Method Not Allowed"
        CONFLICT -> "Conflict"
        MISDIRECTED_REQUEST -> "Misdirected Request"
        UNPROCESSABLE_CONTENT -> "Unprocessable Content"
        TOO_MANY_REQUESTS -> "Too Many Requests"
        HEADERS_TOO_LARGE -> "Request Header Fields Too Large"
        SERVICE_UNAVAILABLE -> "Service Unavailable"
        else -> "Status"
    }
}
