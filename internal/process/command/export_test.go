package command

// IntakeSettings bridges to the tests.
var IntakeSettings = provideIntakeSettings
