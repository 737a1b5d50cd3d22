// The DRMAA 1.0 Java binding published by the Open Grid Forum: its names and meaning, documented independently.
package org.ggf.drmaa

import java.text.ParseException
import java.time.DateTimeException
import java.time.Instant
import java.time.LocalDateTime
import java.time.Year
import java.time.ZoneId
import java.time.ZoneOffset
import java.time.ZonedDateTime
import java.util.Date

/**
 * A time of which only some fields may be set. The others are filled in to give the next matching time that has not
 * passed: "11:30" is today, or tomorrow if that has passed; the 29th is in the next month that has such a day. Months
 * count from 0, as in [java.util.Calendar]. The user's time zone applies unless an offset (in minutes) is set.
 */
@Suppress("LongParameterList")
public class PartialTimestamp() :
    Cloneable,
    java.io.Serializable {
    private val fields = IntArray(FIELDS) { UNSET }
    private val modifiers = IntArray(FIELDS)

    public constructor(hour: Int, minute: Int) : this(hour, minute, 0)

    public constructor(hour: Int, minute: Int, second: Int) : this() {
        set(HOUR_OF_DAY, hour)
        set(MINUTE, minute)
        set(SECOND, second)
    }

    public constructor(dayOfMonth: Int, hour: Int, minute: Int, second: Int) : this(hour, minute, second) {
        set(DAY_OF_MONTH, dayOfMonth)
    }

    public constructor(month: Int, dayOfMonth: Int, hour: Int, minute: Int, second: Int) : this(
        dayOfMonth,
        hour,
        minute,
        second,
    ) {
        set(MONTH, month)
    }

    public constructor(year: Int, month: Int, dayOfMonth: Int, hour: Int, minute: Int, second: Int) : this(
        month,
        dayOfMonth,
        hour,
        minute,
        second,
    ) {
        set(CENTURY, year / YEARS)
        set(YEAR, year % YEARS)
    }

    public constructor(century: Int, year: Int, month: Int, dayOfMonth: Int, hour: Int, minute: Int, second: Int) :
        this(month, dayOfMonth, hour, minute, second) {
        set(CENTURY, century)
        set(YEAR, year)
    }

    public constructor(
        century: Int,
        year: Int,
        month: Int,
        dayOfMonth: Int,
        hour: Int,
        minute: Int,
        second: Int,
        zoneOffset: Int,
    ) :
        this(century, year, month, dayOfMonth, hour, minute, second) {
        set(ZONE_OFFSET, zoneOffset)
    }

    /** Throws [IllegalArgumentException] for a value out of the field's range; [UNSET] clears the field. */
    public fun set(field: Int, value: Int) {
        val range = RANGES.getOrNull(field) ?: throw IllegalArgumentException("no field $field")
        require(value == UNSET || value in range) {
            "${NAMES[field]}: $value is not from ${range.first} to ${range.last}"
        }
        fields[field] = value
    }

    public fun get(field: Int): Int = fields[field]

    public fun isSet(field: Int): Boolean = fields[field] != UNSET

    public fun clear(field: Int) {
        fields[field] = UNSET
        modifiers[field] = 0
    }

    public fun clear() {
        for (field in 0 until FIELDS) clear(field)
    }

    /** Added to the field when the time is resolved, with carry into days, months and years. */
    public fun setModifier(field: Int, value: Int) {
        modifiers[field] = value
    }

    public fun getModifier(field: Int): Int = modifiers[field]

    public fun add(field: Int, amount: Int) {
        modifiers[field] += amount
    }

    /** Null if the user's time zone applies. */
    private val offset: ZoneId? get() = if (isSet(
            ZONE_OFFSET,
        )
    ) {
        ZoneOffset.ofTotalSeconds(fields[ZONE_OFFSET] * SECONDS)
    } else {
        null
    }

    public fun getTime(): Date = Date(getTimeInMillis())

    public fun getTimeInMillis(): Long = resolve(Instant.now(), offset ?: ZoneId.systemDefault()).toEpochMilli()

    /**
     * Resolves the timestamp at [now] in [zone]; a pure function. Throws [IllegalArgumentException] for a date that
     * doesn't exist.
     */
    internal fun resolve(now: Instant, zone: ZoneId): Instant {
        val here = ZonedDateTime.ofInstant(now, zone).toLocalDateTime()
        val minute = if (isSet(MINUTE)) {
            fields[MINUTE]
        } else if (isSet(HOUR_OF_DAY)) {
            0
        } else {
            here.minute
        }
        val second = if (isSet(SECOND)) fields[SECOND] else 0
        val fixed = candidates(here).firstNotNullOfOrNull { (year, month, day, hour) ->
            val time = try {
                LocalDateTime.of(year, month + 1, day, hour, minute, second)
            } catch (_: DateTimeException) {
                null
            }
            time?.takeIf { allDate() || !it.isBefore(here.withNano(0)) }
        } ?: throw IllegalArgumentException("no such date: $this")
        return modified(fixed).atZone(zone).toInstant()
    }

    private fun allDate(): Boolean = isSet(YEAR) && isSet(MONTH) && isSet(DAY_OF_MONTH) && isSet(HOUR_OF_DAY)

    private data class Guess(val year: Int, val month: Int, val day: Int, val hour: Int)

    /** Candidate times, soonest first. A day that not every month has occurs within eight years. */
    private fun candidates(here: LocalDateTime): Sequence<Guess> = sequence {
        for (year in years(here)) {
            for (month in fixedOr(MONTH, 0 until MONTHS)) {
                for (day in daysOf(year, month)) {
                    val lastMinute = LocalDateTime.of(year, month + 1, day, LAST_HOUR, LAST_MINUTE)
                    if (!isSet(YEAR) && lastMinute.isBefore(here)) continue
                    for (hour in fixedOr(HOUR_OF_DAY, 0..LAST_HOUR)) yield(Guess(year, month, day, hour))
                }
            }
        }
    }

    private fun years(here: LocalDateTime): IntRange {
        if (!isSet(YEAR)) return here.year..here.year + LEAP_GAP
        val year = century(here) * YEARS + fields[YEAR]
        return year..year
    }

    private fun fixedOr(field: Int, all: IntRange): IntRange = if (isSet(field)) fields[field]..fields[field] else all

    /** Candidate days of a month; none if the month is too short for the day of the timestamp. */
    private fun daysOf(year: Int, month: Int): IntRange {
        val days = Year.of(year).atMonth(month + 1).lengthOfMonth()
        val day = fields[DAY_OF_MONTH]
        return when {
            day == UNSET -> 1..days
            day > days -> IntRange.EMPTY
            else -> day..day
        }
    }

    private fun century(here: LocalDateTime): Int = if (isSet(CENTURY)) fields[CENTURY] else here.year / YEARS

    private fun modified(time: LocalDateTime): LocalDateTime = time
        .plusYears(modifiers[CENTURY].toLong() * YEARS + modifiers[YEAR]).plusMonths(modifiers[MONTH].toLong())
        .plusDays(modifiers[DAY_OF_MONTH].toLong()).plusHours(modifiers[HOUR_OF_DAY].toLong())
        .plusMinutes(modifiers[MINUTE].toLong()).plusSeconds(modifiers[SECOND].toLong())

    override fun equals(other: Any?): Boolean =
        other is PartialTimestamp && fields.contentEquals(other.fields) && modifiers.contentEquals(other.modifiers)

    override fun hashCode(): Int = fields.contentHashCode() * HASH + modifiers.contentHashCode()

    override fun toString(): String = PartialTimestampFormat().format(this)

    public override fun clone(): Any = PartialTimestamp().also { copy ->
        fields.copyInto(copy.fields)
        modifiers.copyInto(copy.modifiers)
    }

    public companion object {
        public const val CENTURY: Int = 0
        public const val YEAR: Int = 1
        public const val MONTH: Int = 2
        public const val DAY_OF_MONTH: Int = 3
        public const val DATE: Int = DAY_OF_MONTH
        public const val HOUR_OF_DAY: Int = 4
        public const val MINUTE: Int = 5
        public const val SECOND: Int = 6
        public const val ZONE_OFFSET: Int = 7
        public const val UNSET: Int = Int.MIN_VALUE

        private const val serialVersionUID = 1L
        private const val FIELDS = 8
        private const val YEARS = 100
        private const val MONTHS = 12
        private const val LAST_HOUR = 23
        private const val LAST_MINUTE = 59
        private const val LEAP_GAP = 8
        private const val SECONDS = 60
        private const val HASH = 31
        private val NAMES =
            listOf("century", "year", "month", "day of month", "hour", "minute", "second", "zone offset")

        // A leap second counts as the last second of its minute; offsets range over 18 hours either way.
        private val RANGES = listOf(0..99, 0..99, 0..11, 1..31, 0..23, 0..59, 0..59, -1080..1080)
    }
}

/** Parses and formats partial times in the specification's format: `[[[[CC]YY/]MM/]DD] hh:mm[:ss] [{-|+}UU:uu]`. */
public class PartialTimestampFormat {
    public fun format(time: PartialTimestamp): String = buildString {
        fun two(field: Int) = time.get(field).toString().padStart(2, '0')
        if (time.isSet(PartialTimestamp.YEAR)) {
            if (time.isSet(PartialTimestamp.CENTURY)) append(two(PartialTimestamp.CENTURY))
            append(two(PartialTimestamp.YEAR)).append('/')
        }
        if (time.isSet(
                PartialTimestamp.MONTH,
            )
        ) {
            append((time.get(PartialTimestamp.MONTH) + 1).toString().padStart(2, '0')).append('/')
        }
        if (time.isSet(PartialTimestamp.DAY_OF_MONTH)) append(two(PartialTimestamp.DAY_OF_MONTH)).append(' ')
        if (time.isSet(PartialTimestamp.HOUR_OF_DAY)) append(two(PartialTimestamp.HOUR_OF_DAY))
        append(':')
        if (time.isSet(PartialTimestamp.MINUTE)) append(two(PartialTimestamp.MINUTE))
        if (time.isSet(PartialTimestamp.SECOND)) append(':').append(two(PartialTimestamp.SECOND))
        if (time.isSet(PartialTimestamp.ZONE_OFFSET)) {
            val offset = time.get(PartialTimestamp.ZONE_OFFSET)
            val size = Math.abs(offset)
            append(
                if (offset < 0) {
                    " -"
                } else {
                    " +"
                },
            ).append(
                (size / HOUR).toString().padStart(2, '0'),
            ).append(':').append((size % HOUR).toString().padStart(2, '0'))
        }
    }

    @Throws(ParseException::class)
    public fun parse(text: String): PartialTimestamp {
        val match =
            FORM.matchEntire(text.trim())
                ?: throw ParseException("not of the form [[[[CC]YY/]MM/]DD] hh:mm[:ss] [{-|+}UU:uu]: $text", 0)
        val fields = match.groupValues.subList(1, 1 + PartialTimestamp.SECOND + 1)
        val (sign, hours, minutes) = match.groupValues.takeLast(OFFSET_GROUPS)
        val time = PartialTimestamp()
        try {
            for ((field, value) in fields.withIndex()) {
                if (value.isNotEmpty()) time.set(field, value.toInt() - (if (field == PartialTimestamp.MONTH) 1 else 0))
            }
            if (sign.isNotEmpty()) {
                time.set(
                    PartialTimestamp.ZONE_OFFSET,
                    (hours.toInt() * HOUR + minutes.toInt()) * (if (sign == "-") -1 else 1),
                )
            }
        } catch (e: IllegalArgumentException) {
            throw ParseException("$text: ${e.message}", 0).apply { initCause(e) }
        }
        return time
    }

    private companion object {
        const val HOUR = 60
        const val OFFSET_GROUPS = 3
        val FORM =
            Regex(
                "(?:(?:(?:(\\d\\d)?(\\d\\d)/)?(\\d\\d)/)?(\\d\\d)\\s+)?" +
                    "(\\d\\d):(\\d\\d)(?::(\\d\\d))?(?:\\s*([+-])(\\d\\d):(\\d\\d))?",
            )
    }
}
