package org.elderhitch.drmaa

/**
 * The exceptions of the DRMAA 1.0 specification by which requests are refused, each with its HTTP status. The client
 * library throws the exception of the same name.
 */
public enum class Fault(public val status: Int) {
    InvalidContactStringException(400),
    InvalidAttributeFormatException(400),
    InvalidAttributeValueException(400),
    ConflictingAttributeValuesException(400),
    InvalidArgumentException(400),
    AuthorizationException(403),
    DeniedByDrmException(422),
    InvalidJobException(404),
    NoActiveSessionException(404),
    HoldInconsistentStateException(409),
    ReleaseInconsistentStateException(409),
    SuspendInconsistentStateException(409),
    ResumeInconsistentStateException(409),
    TryLaterException(503),
    DrmCommunicationException(503),
}

/** A request is refused; [reason] is a single line. */
public class Refused(public val fault: Fault, public val reason: String, cause: Throwable? = null) :
    Exception(reason, cause)
