package org.elderhitch.drmaa

/** The types of values in a native specification. [read] returns null if a text isn't such a value. */
private enum class ValueType(val description: String, val read: (String) -> Any?) {
    TEXT("a non-empty text", { it.ifEmpty { null } }),
    COUNT("a whole number", { it.toLongOrNull() }),
    AMOUNT("a number", { text -> text.toDoubleOrNull()?.takeIf { it.isFinite() } }),
    FLAG("true or false", { it.toBooleanStrictOrNull() }),
    LIST("a comma-separated list", { text -> text.split(',').takeIf { list -> list.none(String::isEmpty) } }),
}

/** The attribute `nativeSpecification`: `key=value` pairs, each of which sets a field of the native job description. */
internal object NativeSpecification {
    private const val ATTRIBUTE = "nativeSpecification"

    private val types: Map<String, ValueType> = mapOf(
        "lotKind" to ValueType.TEXT,
        "urgency" to ValueType.TEXT,
        "crates" to ValueType.COUNT,
        "cores" to ValueType.AMOUNT,
        "accelerators" to ValueType.AMOUNT,
        "memGb" to ValueType.AMOUNT,
        "catchImage" to ValueType.TEXT,
        "pullGb" to ValueType.AMOUNT,
        "rigs" to ValueType.LIST,
        "hall" to ValueType.TEXT,
        "samePlace" to ValueType.FLAG,
        "spread" to ValueType.FLAG,
        "borrowedRigs" to ValueType.FLAG,
        "haulS" to ValueType.AMOUNT,
        "tallyS" to ValueType.AMOUNT,
        "stowS" to ValueType.AMOUNT,
        "closingS" to ValueType.AMOUNT,
        "repeatOf" to ValueType.TEXT,
    )

    /** The fields that a specification may set. */
    val fields: Set<String> get() = types.keys

    /** Reads pairs that are separated by white space; null has none. Throws [Refused] naming the field. */
    fun parse(text: String?): Map<String, Any?> {
        val values = LinkedHashMap<String, Any?>()
        for (pair in text.orEmpty().split(' ', '\t', '\n').filter { it.isNotEmpty() }) {
            val field = pair.substringBefore('=')
            if ('=' !in pair) refuseFormat("\"$field\" is no key=value")
            val type = types[field] ?: refuseUnknown(field)
            if (field in values) refuseFormat("$field: set twice")
            values[field] = type.read(pair.substringAfter('=')) ?: refuseFormat("$field: not ${type.description}")
        }
        return values
    }

    private fun refuseFormat(reason: String): Nothing =
        throw Refused(Fault.InvalidAttributeFormatException, "$ATTRIBUTE: $reason")

    private fun refuseUnknown(field: String): Nothing = throw Refused(
        Fault.InvalidAttributeValueException,
        "$ATTRIBUTE: $field: unknown; known are ${fields.sorted()}",
    )
}
