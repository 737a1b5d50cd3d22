package org.elderhitch.fleet

/**
 * Statistics of recent boot times, as multiples of the boot time that the cloud states for the machine type.
 *
 * Some machines never come up but are charged nevertheless, so they are terminated after a boot timeout. The timeout
 * follows the slowest of the recent boots, so that it adapts to periods when the cloud is slow.
 */
public class BootTimes {
    private val recent = ArrayDeque<Double>()

    /** The boot timeout, after which a machine that is not up is terminated. */
    public val timeoutMultiple: Double
        get() =
            if (recent.size < MIN_SAMPLES) {
                DEFAULT_TIMEOUT_MULTIPLE
            } else {
                (recent.max() * TIMEOUT_FACTOR).coerceIn(MIN_TIMEOUT_MULTIPLE, DEFAULT_TIMEOUT_MULTIPLE)
            }

    /**
     * The multiple after which a machine is late, so that another is provisioned in its place.
     *
     * If no machine has come up ([hasRunningMachines] is false) or all boots are slow, the cloud is slow, and a
     * replacement would come up later still: at two and a half times the usual boot time, a whole fleet was provisioned
     * twice.
     */
    public fun lateMultiple(hasRunningMachines: Boolean): Double = when {
        !hasRunningMachines -> DEFAULT_TIMEOUT_MULTIPLE

        recent.isEmpty() -> DEFAULT_LATE_MULTIPLE

        else -> (recent.sorted()[recent.size / 2] * DEFAULT_LATE_MULTIPLE).coerceIn(
            DEFAULT_LATE_MULTIPLE,
            DEFAULT_TIMEOUT_MULTIPLE,
        )
    }

    /** Records that a machine came up after [multiple] times its usual boot time. */
    public fun add(multiple: Double) {
        recent.addLast(multiple)
        if (recent.size > MAX_SAMPLES) recent.removeFirst()
    }

    public companion object {
        /** The multiple after which a machine is late while no recent boot is known, which is also its minimum. */
        public const val DEFAULT_LATE_MULTIPLE: Double = 2.0

        /** The boot timeout while few recent boots are known, which is also its maximum. */
        public const val DEFAULT_TIMEOUT_MULTIPLE: Double = 3.5
        private const val MIN_TIMEOUT_MULTIPLE = 2.0
        private const val TIMEOUT_FACTOR = 1.25
        private const val MIN_SAMPLES = 10
        private const val MAX_SAMPLES = 40
    }
}
